#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <string>

namespace almondlever {

/** Reads "500ms", "2s", "5min" or "1h"; the error says what would be right. */
Result<Milliseconds, std::string> parseDuration(const std::string& text);

/** Reads "512B", "64KiB", "4MiB" or "1GiB"; the error says what would be right. */
Result<std::size_t, std::string> parseByteSize(const std::string& text);

/** Reads "60%" or "12.5 %" as per cent, 0 to 100; the error says what would be right. */
Result<double, std::string> parsePercentage(const std::string& text);

/** Writes the shortest form that parseDuration reads back, for example "2s". */
std::string formatDuration(Milliseconds);
/** Writes the shortest form that parseByteSize reads back, for example "4MiB". */
std::string formatByteSize(std::size_t bytes);
/** Writes a share of 0 to 1 as per cent, for example "12.5%"; one that no short percentage states exactly as "share x".
 */
std::string formatShare(double share);

} // namespace almondlever

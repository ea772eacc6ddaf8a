#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <string>

namespace almondlever {

/** Parses "500ms", "2s", "5min" or "1h"; the error describes the expected format. */
Result<Milliseconds, std::string> parseDuration(const std::string& text);

/** Parses "512B", "64KiB", "4MiB" or "1GiB"; the error describes the expected format. */
Result<std::size_t, std::string> parseByteSize(const std::string& text);

/** Parses "60%" or "12.5 %" as per cent, 0 to 100; the error describes the expected format. */
Result<double, std::string> parsePercentage(const std::string& text);

/** Formats a duration in the largest unit that divides it, for example "2s"; parseDuration is the inverse. */
std::string formatDuration(Milliseconds);
/** Formats a size in the largest unit that divides it, for example "4MiB"; parseByteSize is the inverse. */
std::string formatByteSize(std::size_t bytes);
/**
 * Formats a share of 0 to 1 as a percentage, for example "12.5%", or as "share x" when a percentage of ten significant
 * digits does not represent it exactly.
 */
std::string formatShare(double share);

} // namespace almondlever

#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/config/Configuration.h"

#include <string>

namespace almondlever {

/**
 * Canonical JSON of a configuration: equal for configurations that differ only in the order of lists sorted by name.
 * Leaves out the version, which the head states, so that equal content has equal parts in every version.
 */
std::string encodeConfiguration(const Configuration&);

/**
 * Reads what encodeConfiguration wrote. The error says what is malformed, which includes references to ranks, databases
 * and failure domains that are not listed. Never throws on foreign bytes.
 */
Result<Configuration, std::string> decodeConfiguration(const std::string& bytes, std::uint64_t version);

} // namespace almondlever

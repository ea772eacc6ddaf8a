#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/config/Configuration.h"

#include <string>

namespace almondlever {

/**
 * Encodes a configuration as canonical JSON. Configurations that differ only in the order of lists sorted by name have
 * the same encoding. The version is stored in the head instead, so that unchanged content yields the same parts in
 * every version.
 */
std::string encodeConfiguration(const Configuration&);

/**
 * Decodes the output of encodeConfiguration. The error describes what is malformed, including references to undefined
 * ranks, databases and failure domains. Does not throw on malformed input.
 */
Result<Configuration, std::string> decodeConfiguration(const std::string& bytes, std::uint64_t version);

} // namespace almondlever

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace almondlever {

/**
 * Strict reads of members of a JSON object. Each throws std::exception with a sentence when the member is missing, has
 * another type or is out of range; decoders catch it and return it as their error.
 */
std::uint64_t readUnsigned(const nlohmann::json&, const char* key, std::uint64_t greatest);
/** A finite number from 0 to 1. */
double readShare(const nlohmann::json&, const char* key);
bool readBoolean(const nlohmann::json&, const char* key);
/** A text that is not empty. */
std::string readText(const nlohmann::json&, const char* key);
const nlohmann::json& readList(const nlohmann::json&, const char* key);

/**
 * Text of a document in ASCII, so that it can be cut anywhere. Bytes that are not UTF-8 are replaced; never throws.
 */
std::string writeJson(const nlohmann::json&);

} // namespace almondlever

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace almondlever {

/**
 * Strictly typed accessors for members of a JSON object. Each throws a std::exception with a readable message when the
 * member is missing, has the wrong type or is out of range; decoders catch it and return the message as their error.
 */
std::uint64_t readUnsigned(const nlohmann::json&, const char* key, std::uint64_t maximum);
/** Reads a finite number from 0 to 1. */
double readShare(const nlohmann::json&, const char* key);
bool readBoolean(const nlohmann::json&, const char* key);
/** Reads a non-empty string. */
std::string readText(const nlohmann::json&, const char* key);
const nlohmann::json& readList(const nlohmann::json&, const char* key);

/**
 * Serializes a document as ASCII, so that it can be split at any byte. Invalid UTF-8 is replaced; never throws.
 */
std::string writeJson(const nlohmann::json&);

} // namespace almondlever

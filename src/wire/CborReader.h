#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace almondlever {

/** Longest identifier or address accepted from a peer, in bytes. */
inline constexpr std::size_t maximumNameBytes = 256;

/**
 * Parses one CBOR value that spans the whole input. Returns a discarded value when the input is malformed, nested
 * deeper than any message, or contains a duplicate key, a null, a tag or a floating-point number. Never throws.
 */
nlohmann::json parseCbor(const std::string& bytes);

/**
 * Reads typed fields of a CBOR map and records the first error. After an error every read returns a default value, so
 * that a decoder can read all fields and check once at the end.
 */
class CborReader {
public:
    /** The map must outlive the reader. */
    explicit CborReader(const nlohmann::json& map);

    bool has(const char* key) const;
    /** Number within [0, maximum]; 0 when absent. */
    std::uint64_t number(const char* key, std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max());
    bool flag(const char* key);
    /** Text of at most the given length; empty when absent. */
    std::string text(const char* key, std::size_t maximumBytes = std::numeric_limits<std::size_t>::max());
    /** Byte string; empty when absent. */
    std::string bytes(const char* key);
    Milliseconds milliseconds(const char* key);
    /** Array of at most the given length; an empty array when absent. */
    const nlohmann::json& array(const char* key, std::size_t maximumLength);
    /** Nested map; when it is missing or not a map, records an error and returns an empty map. */
    const nlohmann::json& map(const char* key);

    template <typename Id> Id identifier(const char* key) { return Id(text(key, maximumNameBytes)); }

    /** Value of an enumeration that is numbered from 0 to last without gaps. */
    template <typename Enum> Enum enumeration(const char* key, Enum last)
    {
        return static_cast<Enum>(number(key, static_cast<std::uint64_t>(last)));
    }

    /** Records an error unless there already is one. */
    void fail(const std::string& key, const std::string& problem);
    /** Copies the error of a nested reader unless there already is one. */
    void adoptError(const CborReader& nested);

    /** First error; empty when there is none. */
    const std::string& firstError() const { return firstError_; }

private:
    const nlohmann::json* find(const char* key) const;

    const nlohmann::json& map_;
    std::string firstError_;
};

} // namespace almondlever

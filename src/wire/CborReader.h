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
 * Parses one CBOR value that spans the whole input. Gives a discarded value when the input is malformed, nested deeper
 * than the messages need, holds a key twice, or holds a tag or a floating-point number. Never throws.
 */
nlohmann::json parseCbor(const std::string& bytes);

/**
 * Reads typed fields of a CBOR map and remembers the first fault. After a fault every read gives a default, so that a
 * decoder reads all fields and checks once at the end.
 */
class CborReader {
public:
    /** The value must outlive the reader. */
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
    /** The map under a key; an empty map and a fault when it is missing or no map. */
    const nlohmann::json& map(const char* key);

    template <typename Id> Id identifier(const char* key) { return Id(text(key, maximumNameBytes)); }

    /** Enumeration whose values are numbered without gaps from 0 to last. */
    template <typename Enum> Enum enumeration(const char* key, Enum last)
    {
        return static_cast<Enum>(number(key, static_cast<std::uint64_t>(last)));
    }

    /** Records a fault unless an earlier one was found. */
    void fail(const std::string& key, const std::string& problem);
    /** Takes over the fault of a reader of a nested value. */
    void adopt(const CborReader& nested);

    /** First fault; empty when all is well. */
    const std::string& fault() const { return fault_; }

private:
    const nlohmann::json* find(const char* key) const;

    const nlohmann::json& map_;
    std::string fault_;
};

} // namespace almondlever

#pragma once

#include "CborReader.h"
#include "almondlever/common/LogPosition.h"

#include <algorithm>

namespace almondlever {

/** Writes typed fields of a CBOR map. Omits default values, which the decoder restores, to keep frequent messages
 * (thousands per second) small. */
class CborWriter {
public:
    explicit CborWriter(nlohmann::json& map)
        : map_(map)
    {
    }

    void number(const char* key, std::uint64_t value)
    {
        if (value != 0)
            map_[key] = value;
    }
    void flag(const char* key, bool value)
    {
        if (value)
            map_[key] = true;
    }
    void text(const char* key, const std::string& value)
    {
        if (!value.empty())
            map_[key] = value;
    }
    template <typename Tag> void text(const char* key, const Identifier<Tag>& id) { text(key, id.text()); }
    void milliseconds(const char* key, Milliseconds value)
    {
        number(key, static_cast<std::uint64_t>(std::max<Milliseconds::rep>(value.count(), 0)));
    }
    template <typename Enum> void enumeration(const char* key, Enum value)
    {
        number(key, static_cast<std::uint64_t>(value));
    }
    void position(const char* key, const LogPosition& value)
    {
        if (value != LogPosition {})
            map_[key] = nlohmann::json::array({ value.term, value.index });
    }

private:
    nlohmann::json& map_;
};

inline LogPosition readPosition(CborReader& reader, const char* key)
{
    if (!reader.has(key))
        return {};
    const nlohmann::json& parts = reader.array(key, 2);
    if (parts.size() != 2 || !parts[0].is_number_unsigned() || !parts[1].is_number_unsigned()) {
        reader.fail(key, "is not a log position");
        return {};
    }
    return { parts[0].get<std::uint64_t>(), parts[1].get<std::uint64_t>() };
}

} // namespace almondlever

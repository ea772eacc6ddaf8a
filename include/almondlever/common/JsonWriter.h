#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace almondlever {

/**
 * Writes one JSON object with strings, numbers, booleans and log positions. Strings must be valid UTF-8.
 *
 * Used for the short documents of each statement, because building a DOM first costs several allocations per member.
 */
class JsonWriter {
public:
    JsonWriter() { text_.reserve(256); }

    void add(std::string_view name, std::string_view value)
    {
        beginMember(name);
        appendText(value);
    }
    /** Without this overload a string literal would convert to bool. */
    void add(std::string_view name, const char* value) { add(name, std::string_view(value)); }
    void add(std::string_view name, bool value)
    {
        beginMember(name);
        text_ += value ? "true" : "false";
    }
    void add(std::string_view name, std::uint64_t value)
    {
        beginMember(name);
        text_ += std::to_string(value);
    }
    void add(std::string_view name, std::int64_t value)
    {
        beginMember(name);
        text_ += std::to_string(value);
    }
    /** Adds an array of two numbers. */
    void add(std::string_view name, std::uint64_t first, std::uint64_t second)
    {
        beginMember(name);
        text_ += '[' + std::to_string(first) + ',' + std::to_string(second) + ']';
    }

    /** Returns the complete object and leaves the writer empty. */
    std::string finish()
    {
        text_ += text_.empty() ? "{}" : "}";
        return std::move(text_);
    }

private:
    void beginMember(std::string_view name);
    void appendText(std::string_view);

    std::string text_;
};

} // namespace almondlever

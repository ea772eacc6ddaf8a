#include "almondlever/common/JsonWriter.h"

namespace almondlever {

void JsonWriter::beginMember(std::string_view name)
{
    text_ += text_.empty() ? '{' : ',';
    appendText(name);
    text_ += ':';
}

void JsonWriter::appendText(std::string_view text)
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    text_ += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            text_ += '\\';
            text_ += c;
        } else if (byte < ' ') {
            text_ += "\\u00";
            text_ += hexDigits[byte >> 4U];
            text_ += hexDigits[byte & 0xfU];
        } else {
            text_ += c;
        }
    }
    text_ += '"';
}

} // namespace almondlever

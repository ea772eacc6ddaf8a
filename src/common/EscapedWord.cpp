#include "almondlever/common/EscapedWord.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace almondlever {

std::string toWord(const std::string& text)
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    constexpr unsigned char deleteCharacter = 0x7f;
    std::string word;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte > ' ' && byte != deleteCharacter && c != '%') {
            word += c;
            continue;
        }
        word += '%';
        word += hexDigits[byte >> 4U];
        word += hexDigits[byte & 0xfU];
    }
    return word;
}

std::string fromWord(const std::string& word)
{
    constexpr std::size_t escapedLength = 3;
    constexpr int hexadecimal = 16;
    std::string text;
    for (std::size_t at = 0; at < word.size(); ++at) {
        unsigned byte = 0;
        const bool isEscape = word[at] == '%' && at + escapedLength <= word.size();
        const char* end = word.data() + std::min(at + escapedLength, word.size());
        const auto parsed = isEscape ? std::from_chars(word.data() + at + 1, end, byte, hexadecimal)
                                     : std::from_chars_result { nullptr, std::errc::invalid_argument };
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            text += word[at];
            continue;
        }
        text += static_cast<char>(byte);
        at += escapedLength - 1;
    }
    return text;
}

} // namespace almondlever

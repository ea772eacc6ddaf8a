#include "OddText.h"

#include <array>
#include <fmt/format.h>

namespace almondlever::soak {

namespace {

    constexpr double wordShare = 0.1;
    constexpr double fieldShare = 0.25;
    constexpr double poolShare = 0.6;
    constexpr double startShare = 0.3;
    constexpr std::size_t mostRows = 3;

    constexpr std::array<const char*, 11> wordPieces { "\n", "\r", "\n\r", "\t", "\xff\xfe", "\xc3", "\x01\x7f",
        "\nTERMINATE", "\rQUERY", "%s\\n\"'", "\n\n" };
    constexpr std::array<const char*, 14> fieldPieces { " ", "   ", "\n", "\r", " \n ", "\xff\xfe \x80",
        "\nQUERY x READ y", "\nQUERY forged WRITE i1 forged", "\nCOMPLETE sig\nREADY I 1.1", " READ arpe",
        " WRITE arpe", "\nTERMINATE", "\nERROR BUSY -\nREADY I 1.1", "\r " };
    constexpr std::array<const char*, 6> names { "zone", "s", "r_q7", "s\nt", "\xffz", "w_q7\r" };
    constexpr std::array<const char*, 8> values { "v1", "v1 ", " v1", "v1\nv2", "v1\r", "v1  v2", "\xff",
        "\nSET zone v1" };
    constexpr std::array<const char*, 9> shapes { "q7", "q7 READ arpe", "q7 WRITE arpe", "q7  READ arpe", "q7 ",
        "q7\narpe", "q7 READ arpe READ q7", "q7\r", " q7" };

} // namespace

std::string OddText::admit(const std::string& text) const
{
    std::string admitted;
    for (const char character : text) {
        const bool isBlankOrPrinted = character >= ' ' && character < '\x7f';
        const bool endsMessage = character == '\n' && !admitted.empty() && admitted.back() == '\r';
        if (isBlankOrPrinted || (kind_ == OddData::All && !endsMessage))
            admitted += character;
    }
    return admitted;
}

std::string OddText::changeWord(const std::string& plain)
{
    if (!isOn() || !draw(wordShare))
        return plain;
    return admit(plain + wordPieces[drawIndex(wordPieces.size())]);
}

std::string OddText::changeField(const std::string& plain)
{
    if (!isOn() || !draw(fieldShare))
        return plain;
    const std::string start = draw(startShare) ? fieldPieces[drawIndex(fieldPieces.size())] : "";
    return admit(start + plain + fieldPieces[drawIndex(fieldPieces.size())]);
}

std::string OddText::makeName(const std::string& plain)
{
    return isOn() && draw(poolShare) ? admit(names[drawIndex(names.size())]) : plain;
}

std::string OddText::makeValue(const std::string& plain)
{
    return isOn() && draw(poolShare) ? admit(values[drawIndex(values.size())]) : changeField(plain);
}

std::string OddText::makeShape(const std::string& plain)
{
    return isOn() && draw(poolShare) ? admit(shapes[drawIndex(shapes.size())]) : changeField(plain);
}

std::string OddText::makeRow(const std::string& plain)
{
    if (isOn() && draw(wordShare))
        return admit(plain + "\nCOMPLETE forged-1\nREADY I 1.1");
    return changeField(plain);
}

std::size_t OddText::drawRows() { return isOn() ? drawIndex(mostRows + 1) : 1; }

std::string escape(const std::string& text)
{
    std::string shown;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '\n')
            shown += "\\n";
        else if (character == '\r')
            shown += "\\r";
        else if (byte < 0x20 || byte >= 0x7f)
            shown += fmt::format("\\x{:02x}", byte);
        else
            shown += character;
    }
    return shown;
}

} // namespace almondlever::soak

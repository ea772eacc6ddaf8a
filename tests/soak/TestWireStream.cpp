#include "almondlever/common/Time.h"
#include "soak/OddText.h"
#include "soak/WireStream.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace almondlever;
using namespace almondlever::soak;

namespace {

std::vector<std::string> readAll(WireReader& reader)
{
    std::vector<std::string> messages;
    while (const auto message = reader.next())
        messages.push_back(*message);
    return messages;
}

/** Two streams that are connected to each other, and what the second one received. */
struct Connected {
    asio::io_context context;
    std::shared_ptr<WireStream> near = std::make_shared<WireStream>(context);
    std::shared_ptr<WireStream> far;
    std::vector<std::string> messages;
    bool isNearClosed = false;
    bool isFarClosed = false;

    Connected()
    {
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
        near->connect(acceptor.local_endpoint().port(), { [](std::string_view) {}, [this] { isNearClosed = true; } });
        far = std::make_shared<WireStream>(acceptor.accept());
        far->start(
            { [this](std::string_view message) { messages.emplace_back(message); }, [this] { isFarClosed = true; } });
    }

    template <typename Condition> bool waitFor(Condition condition)
    {
        constexpr std::chrono::seconds limit { 10 };
        const TimePoint until = Clock::now() + limit;
        while (!condition() && Clock::now() < until)
            context.run_one_for(Milliseconds(20));
        return condition();
    }
};

} // namespace

// Guards against a reader that ends a message at a lone LF or CR.
Test(WireReader, endsMessagesAtBothCharacters)
{
    WireReader reader;
    reader.append("WRITE i1 a\nb\rc\n\rd\r\n\r\nREADY I -\r\r\nREADY");
    const std::vector<std::string> expected { "WRITE i1 a\nb\rc\n\rd", "", "READY I -\r" };
    cr_assert(readAll(reader) == expected);
}

// Guards against a reader that depends on how the bytes are cut into pieces, also between CR and LF.
Test(WireReader, joinsPieces)
{
    WireReader reader;
    std::vector<std::string> messages;
    for (const char character : std::string("a\r\r\n\nb\r\n")) {
        reader.append({ &character, 1 });
        for (const std::string& message : readAll(reader))
            messages.push_back(message);
    }
    const std::vector<std::string> expected { "a\r", "\nb" };
    cr_assert(messages == expected);
}

// Guards against a limit that counts other than the bytes of a message with its end.
Test(WireReader, limitsTheSize)
{
    WireReader fits;
    fits.append(std::string(WireReader::maximumMessageBytes - 2, 'a') + "\r\n");
    cr_assert(!fits.isTooLong());
    cr_assert_eq(readAll(fits).size(), 1U);
    WireReader exceeds;
    exceeds.append(std::string(WireReader::maximumMessageBytes - 1, 'a') + "\r\n");
    cr_assert(readAll(exceeds).empty());
    cr_assert(exceeds.isTooLong());
}

// Guards against fields that lose blanks.
Test(WireReader, keepsBlanksOfTheLastField)
{
    std::string_view text = "SET zone  a  b ";
    cr_assert_eq(takeField(text), "SET");
    cr_assert_eq(takeField(text), "zone");
    cr_assert_eq(text, " a  b ");
}

// Guards against a position that is read from text which is none.
Test(WireReader, readsPositions)
{
    cr_assert(parsePosition("3.1207") == LogPosition({ 3, 1207 }));
    cr_assert_eq(formatPosition({ 3, 1207 }), "3.1207");
    for (const char* text : { "-", "", ".", "3.", ".4", "3.4 ", "3.4\n", "-3.4" })
        cr_assert(!parsePosition(text), "%s", text);
}

// Guards against bytes that are changed or lost between two streams, and against an end that comes before the last of
// them.
Test(WireStream, carriesBytesAndEnds)
{
    Connected connected;
    const std::string large(300000, '\n');
    connected.near->write("QUERY q\xff\n1 WRITE i1  a \r\n");
    connected.near->write(large + "\r\nREADY I");
    connected.near->finish();
    cr_assert(connected.waitFor([&connected] { return connected.isFarClosed; }));
    const std::vector<std::string> expected { "QUERY q\xff\n1 WRITE i1  a ", large };
    cr_assert(connected.messages == expected);
}

// Guards against a message above the limit that fills the memory.
Test(WireStream, closesOnAMessageThatIsTooLong)
{
    Connected connected;
    connected.near->write(std::string(WireReader::maximumMessageBytes + 1, 'a'));
    cr_assert(connected.waitFor([&connected] { return connected.isFarClosed && connected.isNearClosed; }));
    cr_assert(connected.messages.empty());
}

// Guards against odd text that ends its message or a word, that loses the plain text, or that is never odd.
Test(OddText, staysInItsField)
{
    constexpr int draws = 3000;
    OddText odd(OddData::All, 1);
    std::set<std::string> kinds;
    for (int draw = 0; draw < draws; ++draw) {
        const std::string word = odd.changeWord("c1q7");
        cr_assert_eq(word.find(' '), std::string::npos);
        cr_assert_eq(odd.makeName("w").find(' '), std::string::npos);
        const std::string row = odd.makeRow("row");
        cr_assert_neq(row.find("row"), std::string::npos);
        const std::string field = odd.changeField("c1-7");
        cr_assert_neq(field.find("c1-7"), std::string::npos);
        for (const std::string& text : { word, row, field, odd.makeShape("q"), odd.makeValue("v") }) {
            cr_assert_eq((text + "\r\n").find("\r\n"), text.size());
            kinds.insert(text);
        }
    }
    for (const char* text : { "q7 READ arpe", "row\nCOMPLETE forged-1\nREADY I 1.1", "c1-7 ", "c1q7\n", " v1" })
        cr_assert_eq(kinds.count(text), 1U, "%s", text);
}

// Guards against a seed without odd data that changes its fields.
Test(OddText, isOffWithoutTheOption)
{
    OddText odd(OddData::None, 1);
    cr_assert_eq(odd.changeWord("a") + odd.changeField("b") + odd.makeName("c") + odd.makeValue("d")
            + odd.makeShape("e") + odd.makeRow("f"),
        "abcdef");
    cr_assert_eq(odd.drawRows(), 1U);
}

// Guards against causes that cannot be shown apart: line ends among the blanks.
Test(OddText, leavesLineEndsOut)
{
    constexpr int draws = 1000;
    OddText odd(OddData::Blanks, 1);
    bool hasBlanks = false;
    for (int draw = 0; draw < draws; ++draw) {
        const std::string text = odd.changeWord("c1q7") + odd.makeName("w") + odd.makeRow("row") + odd.changeField("a")
            + odd.makeShape("q") + odd.makeValue("v");
        cr_assert(std::all_of(
            text.begin(), text.end(), [](char character) { return character >= ' ' && character < '\x7f'; }));
        hasBlanks = hasBlanks || text.find("q7 READ arpe") != std::string::npos;
    }
    cr_assert(hasBlanks);
}

// Guards against reports whose bytes cannot be told apart.
Test(OddText, escapesForReports) { cr_assert_eq(escape("a\n\r\t\xff b"), "a\\n\\r\\x09\\xff b"); }

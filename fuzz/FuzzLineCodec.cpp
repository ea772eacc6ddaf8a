#include "platform/LineCodec.h"

#include <array>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

using Texts = std::vector<std::string>;

void check(bool isTrue)
{
    if (!isTrue)
        std::abort();
}

/** Parts of messages, so that random input often passes the first checks. */
constexpr std::array<std::string_view, 42> parts { "\r\n", "\r", "\n", " ", "  ", "-", "0", ".", "QUERY ", "QUERY 1 ",
    "QUERY 5c0e ", "STARTUP ", "TERMINATE", "BEGIN", "BEGIN READ", "COMMIT", "ROLLBACK", "READ ", "WRITE ", "SET ",
    "PREPARE ", "EXECUTE ", "DEALLOC ", "s1 ", "1a4", "AFTER 3.1 ", "DATAROW ", "DATAROW row\r\n", "COMPLETE ",
    "COMPLETE 7.1f3\r\n", "ERROR ", "ERROR BUSY -\r\n", "FAILED", "READY ", "READY I -\r\n", "READY T 3.1209\r\n",
    "READY E ", "3.1209", "18446744073709551615", "18446744073709551616", "PREPARE s1 READ ", "EXECUTE s1 " };

/** Replaces each byte that is the number of a part by the part, unless the first byte asks for the bytes themselves. */
std::string expand(std::string_view input)
{
    if (input.empty() || input.front() % 2 == 0)
        return std::string(input.substr(input.empty() ? 0 : 1));
    std::string bytes;
    for (const char byte : input.substr(1)) {
        const auto number = static_cast<unsigned char>(byte);
        if (number < parts.size())
            bytes += parts[number];
        else
            bytes += byte;
    }
    return bytes;
}

// The protocol's grammar, read in the simplest way and without the code under test.

/** A message ends at CR LF and nowhere else. */
Texts cutMessages(const std::string& bytes)
{
    Texts messages;
    std::string message;
    for (const char byte : bytes) {
        message += byte;
        const std::size_t size = message.size();
        if (size < 2 || message[size - 2] != '\r' || message[size - 1] != '\n')
            continue;
        messages.push_back(message.substr(0, size - 2));
        message.clear();
    }
    return messages;
}

/** Cuts the text at each of its first blanks; the last field extends to the end. */
Texts cutFields(const std::string& text, std::size_t maximumFields)
{
    Texts fields(1);
    for (const char byte : text) {
        if (byte == ' ' && fields.size() < maximumFields)
            fields.emplace_back();
        else
            fields.back() += byte;
    }
    return fields;
}

StatementKind readKind(const std::string& id, const std::string& text)
{
    constexpr std::size_t unlimited = SIZE_MAX;
    if (id.empty() || id == "-")
        return StatementKind::Malformed;
    const Texts words = cutFields(text, unlimited);
    const std::string& verb = words[0];
    const auto hasWord = [&words](std::size_t at) { return words.size() > at && !words[at].empty(); };
    if (words.size() == 1 && verb == "BEGIN")
        return StatementKind::Begin;
    if (words.size() == 2 && verb == "BEGIN" && words[1] == "READ")
        return StatementKind::BeginReadOnly;
    if (words.size() == 1 && verb == "COMMIT")
        return StatementKind::Commit;
    if (words.size() == 1 && verb == "ROLLBACK")
        return StatementKind::Rollback;
    if (words.size() == 2 && verb == "READ" && hasWord(1))
        return StatementKind::Read;
    if (words.size() >= 3 && verb == "WRITE" && hasWord(1))
        return StatementKind::Write;
    if (words.size() >= 3 && verb == "SET" && hasWord(1))
        return StatementKind::SetValue;
    if (verb == "PREPARE" && hasWord(1) && words.size() >= 4 && (words[2] == "READ" || words[2] == "WRITE")) {
        const bool hasShape = !cutFields(text, 4)[3].empty();
        return hasShape ? StatementKind::Prepare : StatementKind::Malformed;
    }
    if (verb == "EXECUTE" && hasWord(1) && hasWord(2))
        return StatementKind::Execute;
    if (words.size() == 2 && verb == "DEALLOC" && hasWord(1))
        return StatementKind::Deallocate;
    return StatementKind::Malformed;
}

bool isNumber(const std::string& text)
{
    const std::string maximum = "18446744073709551615";
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos
        || (text.size() > 1 && text[0] == '0'))
        return false;
    return text.size() < maximum.size() || (text.size() == maximum.size() && text <= maximum);
}

bool isPosition(const std::string& text)
{
    const std::size_t dot = text.find('.');
    return text == "-" || (dot != std::string::npos && isNumber(text.substr(0, dot)) && isNumber(text.substr(dot + 1)));
}

bool isReady(const std::string& message)
{
    const Texts fields = cutFields(message, 3);
    return fields.size() == 3 && fields[0] == "READY" && (fields[1] == "I" || fields[1] == "T" || fields[1] == "E")
        && isPosition(fields[2]);
}

/** The error as a caller receives it: a word that no page names becomes UNKNOWN, and a missing text "-". */
std::string readError(const std::string& message)
{
    const Texts fields = cutFields(message, 3);
    bool isKnown = false;
    for (const char* code : { "BUSY", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "NOSTMT", "FAILED", "TIMEOUT",
             "NOAUTH", "NODB", "TOOBIG", "MALFORMED", "ABORTED", "UNKNOWN" })
        isKnown = isKnown || fields[1] == code;
    const bool hasText = fields.size() == 3 && !fields[2].empty();
    return "ERROR " + (isKnown ? fields[1] : "UNKNOWN") + ' ' + (hasText ? fields[2] : "-");
}

// The code under test must agree.

Texts splitWithLineBuffer(const std::string& bytes, std::size_t pieceSize)
{
    LineBuffer lines;
    Texts messages;
    for (std::size_t at = 0; at < bytes.size(); at += pieceSize) {
        lines.append(std::string_view(bytes).substr(at, pieceSize));
        while (const auto line = lines.next())
            messages.emplace_back(*line);
    }
    check(!lines.isTooLong());
    return messages;
}

/** What reaches an endpoint must be the caller's message, but for the name of a prepared statement. */
void checkForwarding(const Statement& statement, const std::string& message)
{
    EndpointCommand command;
    command.id = statement.id;
    command.text = statement.text;
    command.name = statement.name;
    command.argument = statement.argument;
    command.isWriteShape = statement.isWriteShape;
    if (statement.kind == StatementKind::Execute) {
        command.kind = EndpointCommand::Kind::ForwardPrepared;
        check(encodeCommand(command) == message + "\r\n");
        Texts fields = cutFields(message, 5);
        fields[3] = command.name = "w_1";
        check(encodeCommand(command)
            == fields[0] + ' ' + fields[1] + ' ' + fields[2] + ' ' + fields[3] + ' ' + fields[4] + "\r\n");
        return;
    }
    if (statement.kind == StatementKind::SetValue || statement.kind == StatementKind::Prepare) {
        command.kind = statement.kind == StatementKind::SetValue ? EndpointCommand::Kind::SetValue
                                                                 : EndpointCommand::Kind::Prepare;
        command.id.clear();
        check(encodeCommand(command) == "QUERY - " + cutFields(message, 3)[2] + "\r\n");
        return;
    }
    check(encodeCommand(command) == message + "\r\n");
}

void checkCallerMessage(const std::string& message)
{
    const CallerMessage decoded = decodeCallerLine(message);
    const Texts fields = cutFields(message, 3);
    if (fields[0] == "QUERY") {
        const std::string id = fields.size() > 1 ? fields[1] : "";
        const std::string text = fields.size() > 2 ? fields[2] : "";
        const auto* statement = std::get_if<Statement>(&decoded);
        check(statement && statement->kind == readKind(id, text) && statement->id == id && statement->text == text);
        if (statement->kind != StatementKind::Malformed)
            checkForwarding(*statement, message);
    } else if (fields[0] == "STARTUP" && fields.size() > 1 && !fields[1].empty()) {
        const auto* startup = std::get_if<CallerStartup>(&decoded);
        check(startup && startup->database == fields[1] && startup->key == (fields.size() > 2 ? fields[2] : ""));
    } else {
        check(std::holds_alternative<CallerTermination>(decoded) == (message == "TERMINATE"));
        check(std::holds_alternative<InvalidCallerMessage>(decoded) == (message != "TERMINATE"));
    }
}

/** What an endpoint sent must be what the caller receives. */
void checkEndpointMessages(const Texts& messages)
{
    ReplyAssembler assembler;
    std::string expected;
    bool hasOutcome = false;
    for (const std::string& message : messages) {
        const Texts fields = cutFields(message, 2);
        const ReplyAssembler::Step step = assembler.feed(message);
        if (isReady(message)) {
            check(step == ReplyAssembler::Step::Complete && assembler.hasOutcome() == hasOutcome);
            const Reply reply = assembler.take();
            if (hasOutcome)
                check(encodeReply(reply) == expected + message + "\r\n");
            else
                check(!reply.error && reply.detail.empty());
            for (const std::string& row : reply.rows)
                (void)decodeStatusRow(row);
            expected.clear();
            hasOutcome = false;
            continue;
        }
        const bool isRow = fields.size() == 2 && fields[0] == "DATAROW";
        const bool isSuccess = fields.size() == 2 && fields[0] == "COMPLETE";
        const bool isError = fields.size() == 2 && fields[0] == "ERROR" && !cutFields(message, 3)[1].empty();
        if (hasOutcome || (!isRow && !isSuccess && !isError)) {
            check(step == ReplyAssembler::Step::Invalid);
            return;
        }
        check(step == ReplyAssembler::Step::Pending);
        hasOutcome = !isRow;
        expected += (isError ? readError(message) : message) + "\r\n";
    }
}

/** Whatever a text holds, what is written must be as many messages as were meant. */
void checkEncoders(const std::string& text)
{
    Reply reply;
    reply.rows = { text };
    reply.detail = text;
    check(cutMessages(encodeReply(reply)).size() == (text.find("\r\n") == std::string::npos ? 3 : 2));
    reply.rows.clear();
    reply.error = StatementError::Failed;
    check(cutMessages(encodeReply(reply)).size() == 2);
    check(cutMessages(encodeStartupRefusal(StatementError::Failed, text)).size() == 1);
    EndpointCommand command;
    command.id = command.name = "1";
    command.text = command.argument = text;
    for (const auto kind : { EndpointCommand::Kind::Forward, EndpointCommand::Kind::ForwardPrepared,
             EndpointCommand::Kind::SetValue, EndpointCommand::Kind::Prepare }) {
        command.kind = kind;
        check(cutMessages(encodeCommand(command)).size() == (text.find("\r\n") == std::string::npos ? 1 : 0));
    }
    const std::string startup = encodeEndpointStartup(GroupId("g"), CustomerId(text), EndpointId("i-1"));
    const bool isWord = text.find(' ') == std::string::npos && text.find("\r\n") == std::string::npos;
    check(startup == (isWord ? "STARTUP g " + (text.empty() ? "almondlever" : text) + " i-1\r\n" : ""));
}

} // namespace

/**
 * libFuzzer target of the line protocols of callers and endpoints; compares the codec with an independent reader of the
 * protocol's grammar.
 */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT: name set by libFuzzer
{
    const std::string bytes = expand(std::string_view(reinterpret_cast<const char*>(data), size));
    const Texts messages = cutMessages(bytes);
    for (const std::size_t pieceSize : { std::size_t { 1 }, std::size_t { 7 }, bytes.size() + 1 })
        check(splitWithLineBuffer(bytes, pieceSize) == messages);
    for (const std::string& message : messages)
        checkCallerMessage(message);
    checkEndpointMessages(messages);
    checkEncoders(bytes);
    return 0;
}

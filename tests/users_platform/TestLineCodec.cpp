#include "platform/LineCodec.h"

#include <criterion/criterion.h>
#include <ctime>
#include <string>
#include <vector>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

Statement decode(const std::string& line)
{
    const CallerMessage message = decodeCallerLine(line);
    cr_assert(std::holds_alternative<Statement>(message), "'%s' is not a statement", line.c_str());
    return std::get<Statement>(message);
}

} // namespace

// Guards against decoding a statement as another kind or changing its text.
Test(LineCodec, decodesStatements)
{
    const Statement write = decode("QUERY 5c0e WRITE 1a4 some data  with blanks");
    cr_assert(write.kind == StatementKind::Write);
    cr_assert_eq(write.id, "5c0e");
    cr_assert_eq(write.text, "WRITE 1a4 some data  with blanks");
    cr_assert(decode("QUERY 1 READ 1a4").kind == StatementKind::Read);
    cr_assert(decode("QUERY 1 BEGIN").kind == StatementKind::Begin);
    cr_assert(decode("QUERY 1 BEGIN READ").kind == StatementKind::BeginReadOnly);
    cr_assert(decode("QUERY 1 COMMIT").kind == StatementKind::Commit);
    cr_assert(decode("QUERY 1 ROLLBACK").kind == StatementKind::Rollback);
    const Statement set = decode("QUERY 1 SET zone Africa/Windhoek x");
    cr_assert_eq(set.name, "zone");
    cr_assert_eq(set.argument, "Africa/Windhoek x");
    const Statement prepare = decode("QUERY 1 PREPARE s1 WRITE q2c");
    cr_assert(prepare.kind == StatementKind::Prepare && prepare.isWriteShape);
    cr_assert_eq(prepare.argument, "q2c");
    const Statement execute = decode("QUERY 1 EXECUTE s1 1a4 xk");
    cr_assert_eq(execute.name, "s1");
    cr_assert_eq(execute.argument, "1a4 xk");
    cr_assert(decode("QUERY 1 DEALLOC s1").kind == StatementKind::Deallocate);
}

// Guards against forwarding commands that only the proxy may issue, and malformed messages.
Test(LineCodec, rejectsInvalidCallerMessages)
{
    cr_assert(decode("QUERY 1 AFTER 3.1 READ x").kind == StatementKind::Malformed);
    cr_assert(decode("QUERY 1 STATUS").kind == StatementKind::Malformed);
    cr_assert(decode("QUERY - READ x").kind == StatementKind::Malformed);
    cr_assert(decode("QUERY 1 PREPARE s1 APPEND q").kind == StatementKind::Malformed);
    cr_assert(decode("QUERY 1 ").kind == StatementKind::Malformed);
    cr_assert(decode("QUERY").kind == StatementKind::Malformed);
    cr_assert(std::holds_alternative<InvalidCallerMessage>(decodeCallerLine("")));
    cr_assert(std::holds_alternative<InvalidCallerMessage>(decodeCallerLine("GET / HTTP/1.1")));
    cr_assert(std::holds_alternative<InvalidCallerMessage>(decodeCallerLine("STARTUP")));
    cr_assert(std::holds_alternative<CallerTermination>(decodeCallerLine("TERMINATE")));
}

// Guards against forwarding a text that is not a statement of the protocol.
Test(LineCodec, rejectsWhatIsNotAStatement)
{
    for (const char* text : { "", " ", " READ x", "read x", "READ", "READ ", "READ  x", "READ x ", "READ x y", "WRITE",
             "WRITE ", "WRITE x", "WRITE  x", "BEGIN ", "BEGIN READ ", "BEGIN WRITE", "BEGIN  READ", "COMMIT ",
             "COMMIT x", "ROLLBACK ", "ROLLBACK x", "SET", "SET ", "SET x", "SET  x", "PREPARE s", "PREPARE s READ",
             "PREPARE s READ ", "PREPARE  READ q", "PREPARE s  READ q", "PREPARE s read q", "EXECUTE", "EXECUTE ",
             "EXECUTE s", "EXECUTE s ", "EXECUTE  x", "EXECUTE s  x", "DEALLOC", "DEALLOC ", "DEALLOC  s", "DEALLOC s ",
             "DEALLOC s t", "RESET", "RESUME", "PAUSE 4", "STEPDOWN 4", "STATUS", "AFTER 3.1 READ x", "BEGIN\n",
             "COMMIT\r" }) {
        cr_assert(decode(std::string("QUERY 1 ") + text).kind == StatementKind::Malformed, "'%s'", text);
    }
    for (const char* line : { "QUERY - READ x", "QUERY  READ x", "QUERY", "QUERY ", "QUERY 1" })
        cr_assert(decode(line).kind == StatementKind::Malformed, "'%s'", line);
    for (const char* line :
        { "TERMINATE ", "TERMINATE now", " TERMINATE", "STARTUP ", "STARTUP  who", "QUERY\t1 READ x" })
        cr_assert(std::holds_alternative<InvalidCallerMessage>(decodeCallerLine(line)), "'%s'", line);
}

// Guards against refusing or changing data, values and shapes, which may hold any bytes but CR LF.
Test(LineCodec, acceptsAnyBytesInData)
{
    using namespace std::string_literals;
    for (const std::string& data :
        { ""s, " "s, "  a  b  "s, "a\nQUERY 2 WRITE 1a4 b"s, "\r"s, "\n\r"s, "a\0b"s, "\xff\xfe"s }) {
        const Statement write = decode("QUERY 1 WRITE 1a4 " + data);
        cr_assert(write.kind == StatementKind::Write);
        cr_assert(write.text == "WRITE 1a4 " + data);
        const Statement set = decode("QUERY 1 SET zone " + data);
        cr_assert(set.kind == StatementKind::SetValue && set.name == "zone" && set.argument == data);
        const Statement execute = decode("QUERY 1 EXECUTE s1 1a4 " + data);
        cr_assert(execute.kind == StatementKind::Execute && execute.name == "s1" && execute.argument == "1a4 " + data);
        if (data.empty())
            continue;
        const Statement prepare = decode("QUERY 1 PREPARE s1 READ " + data);
        cr_assert(prepare.kind == StatementKind::Prepare && prepare.name == "s1" && prepare.argument == data);
    }
    cr_assert(decode("QUERY 1 EXECUTE s1 1a4").argument == "1a4");
    cr_assert(decode("QUERY 1 READ a\nb").text == "READ a\nb");
}

// Guards against a renamed execution that differs from the caller's statement in more than the name.
Test(LineCodec, renamesExecutionsWithoutOtherChanges)
{
    for (const std::string name : { "s", "s1", "EXECUTE", "a\nb" }) {
        for (const std::string argument : { "x", "x ", "x  ", "x y", "x  y ", "x \ny", "x s1", "\r" }) {
            const std::string text = "EXECUTE " + name + ' ' + argument;
            const Statement statement = decode("QUERY 9 " + text);
            cr_assert(statement.kind == StatementKind::Execute, "'%s'", text.c_str());
            EndpointCommand command;
            command.kind = EndpointCommand::Kind::ForwardPrepared;
            command.id = statement.id;
            command.name = statement.name;
            command.argument = statement.argument;
            cr_assert_eq(encodeCommand(command), "QUERY 9 " + text + "\r\n");
            command.name = "w_1";
            cr_assert_eq(encodeCommand(command), "QUERY 9 EXECUTE w_1 " + argument + "\r\n");
        }
    }
}

// Guards against replies and commands that callers or endpoints cannot decode.
Test(LineCodec, encodesRepliesAndCommands)
{
    Reply reply;
    reply.rows = { "row" };
    reply.detail = "7.1f3";
    reply.position = LogPosition { 3, 1209 };
    cr_assert_eq(encodeReply(reply), "DATAROW row\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n");
    Reply error;
    error.error = StatementError::Aborted;
    error.detail = "why";
    error.state = TransactionState::Failed;
    cr_assert_eq(encodeReply(error), "ERROR ABORTED why\r\nREADY E -\r\n");
    EndpointCommand command;
    command.id = "5c0e";
    command.text = "READ 1a4";
    command.after = LogPosition { 3, 1207 };
    cr_assert_eq(encodeCommand(command), "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
    EndpointCommand pause;
    pause.kind = EndpointCommand::Kind::PauseReplication;
    pause.term = 4;
    cr_assert_eq(encodeCommand(pause), "QUERY - PAUSE 4\r\n");
    EndpointCommand stepDown;
    stepDown.kind = EndpointCommand::Kind::StepDown;
    stepDown.term = 5;
    cr_assert_eq(encodeCommand(stepDown), "QUERY - STEPDOWN 5\r\n");
    EndpointCommand execute;
    execute.kind = EndpointCommand::Kind::ForwardPrepared;
    execute.id = "9";
    execute.name = "w_q";
    execute.argument = "x y";
    cr_assert_eq(encodeCommand(execute), "QUERY 9 EXECUTE w_q x y\r\n");
    cr_assert_eq(encodeEndpointStartup(GroupId("g"), CustomerId(), EndpointId("i-1")),
        std::string("STARTUP g almondlever i-1\r\n"));
}

// Guards against a text of another daemon, an endpoint or the configuration that ends a message to a caller early, so
// that the rest of the text counts as a message.
Test(LineCodec, repliesHoldNoLineEndInsideAMessage)
{
    Reply error;
    error.error = StatementError::Failed;
    error.detail = "a\r\nREADY I -\r\n\nb\r";
    cr_assert_eq(encodeReply(error), "ERROR FAILED a READY I - \nb\r\r\nREADY I -\r\n");
    cr_assert_eq(encodeStartupRefusal(StatementError::UnknownDatabase, "a\r\nREADY I -"), "ERROR NODB a READY I -\r\n");
    Reply success;
    success.detail = "7.1\nf3";
    success.rows = { "a\nCOMPLETE 7.1", "\r" };
    cr_assert_eq(encodeReply(success), "DATAROW a\nCOMPLETE 7.1\r\nDATAROW \r\r\nCOMPLETE 7.1\nf3\r\nREADY I -\r\n");
}

// Guards against changing a row or a signature to make it fit, and against a promise for a statement that has run.
Test(LineCodec, answerThatIsNoMessageIsUnknown)
{
    Reply row;
    row.rows = { "a", "b\r\nCOMPLETE 7.1" };
    row.detail = "7.1f3";
    row.state = TransactionState::Open;
    Reply signature;
    signature.rows = { "a" };
    signature.detail = "7.1\r\nREADY I -";
    signature.state = TransactionState::Open;
    Reply longRow;
    longRow.rows = { std::string(maximumMessageBytes, 'x') };
    longRow.detail = "7.1f3";
    longRow.state = TransactionState::Open;
    for (const Reply& reply : { row, signature, longRow }) {
        const std::string text = encodeReply(reply);
        cr_assert_eq(text.rfind("ERROR UNKNOWN ", 0), 0U);
        cr_assert_eq(text.find("\r\n") + 2, text.rfind("READY T -\r\n"));
    }
}

// Guards against an explanation that makes a message too long.
Test(LineCodec, shortensLongExplanations)
{
    Reply error;
    error.error = StatementError::ReadOnly;
    error.detail = std::string(maximumMessageBytes, 'x');
    LineBuffer lines;
    lines.append(encodeReply(error));
    cr_assert_eq(lines.next()->size(), maximumMessageBytes);
    cr_assert_eq(std::string(*lines.next()), "READY I -");
    lines.append(encodeStartupRefusal(StatementError::ReadOnly, error.detail));
    cr_assert_eq(lines.next()->size(), maximumMessageBytes);
}

// Guards against a command whose text runs as two commands, or whose words shift the fields behind them.
Test(LineCodec, refusesCommandsThatAreNotOneMessage)
{
    using Kind = EndpointCommand::Kind;
    EndpointCommand valid;
    valid.id = "9";
    valid.text = "WRITE x \r \n";
    valid.name = "w_1";
    valid.argument = "x \n\r y";
    for (const Kind kind : { Kind::Forward, Kind::ForwardPrepared, Kind::SetValue, Kind::Prepare }) {
        valid.kind = kind;
        cr_assert(!encodeCommand(valid).empty());
        for (const char* id : { "9 9", "9\r\n" }) {
            EndpointCommand command = valid;
            command.id = id;
            cr_assert(encodeCommand(command).empty(), "'%s'", id);
        }
        EndpointCommand command = valid;
        (kind == Kind::Forward ? command.text : command.argument) += "\r\nQUERY 1 WRITE x y";
        cr_assert(encodeCommand(command).empty());
        (kind == Kind::Forward ? command.text : command.argument) = std::string(maximumMessageBytes, 'x');
        cr_assert(encodeCommand(command).empty());
    }
    for (const Kind kind : { Kind::ForwardPrepared, Kind::SetValue, Kind::Prepare }) {
        for (const char* name : { "", "w 1", "w\r\n" }) {
            EndpointCommand command = valid;
            command.kind = kind;
            command.name = name;
            cr_assert(encodeCommand(command).empty(), "'%s'", name);
        }
    }
}

// Guards against a startup message whose fields are shifted, so that the endpoint reads another customer or id.
Test(LineCodec, refusesStartupsWithFieldsThatAreNotWords)
{
    cr_assert_eq(encodeEndpointStartup(GroupId("g"), CustomerId("c"), EndpointId("i-1")), "STARTUP g c i-1\r\n");
    for (const char* name : { "a b", " ", "a\r\nQUERY 1 WRITE x y" }) {
        cr_assert(encodeEndpointStartup(GroupId(name), CustomerId("c"), EndpointId("i-1")).empty(), "'%s'", name);
        cr_assert(encodeEndpointStartup(GroupId("g"), CustomerId(name), EndpointId("i-1")).empty(), "'%s'", name);
        cr_assert(encodeEndpointStartup(GroupId("g"), CustomerId("c"), EndpointId(name)).empty(), "'%s'", name);
    }
    cr_assert(encodeEndpointStartup(GroupId(), CustomerId("c"), EndpointId("i-1")).empty());
    cr_assert(encodeEndpointStartup(GroupId("g"), CustomerId("c"), EndpointId()).empty());
}

// Guards against assembling a reply wrongly from its messages.
Test(LineCodec, assemblesReplies)
{
    ReplyAssembler assembler;
    cr_assert(assembler.feed("DATAROW a") == ReplyAssembler::Step::Pending);
    cr_assert(assembler.feed("COMPLETE sig") == ReplyAssembler::Step::Pending);
    cr_assert(assembler.feed("READY T 3.12") == ReplyAssembler::Step::Complete);
    const Reply reply = assembler.take();
    cr_assert_eq(reply.rows.size(), 1U);
    cr_assert(!reply.error);
    cr_assert(reply.state == TransactionState::Open);
    cr_assert(*reply.position == LogPosition({ 3, 12 }));
    cr_assert(assembler.feed("ERROR READONLY i-7") == ReplyAssembler::Step::Pending);
    cr_assert(assembler.feed("READY E -") == ReplyAssembler::Step::Complete);
    const Reply refused = assembler.take();
    cr_assert(refused.error == StatementError::ReadOnly);
    cr_assert(!refused.position);
    cr_assert(assembler.feed("HELLO") == ReplyAssembler::Step::Invalid);
    cr_assert(assembler.feed("READY X -") == ReplyAssembler::Step::Invalid);
}

// Guards against taking an error without a code for BUSY, which guarantees that the statement had no effect.
Test(LineCodec, errorWithoutCodeGuaranteesNothing)
{
    for (const char* line : { "ERROR", "ERROR ", "ERROR  BUSY -" }) {
        ReplyAssembler assembler;
        const ReplyAssembler::Step step = assembler.feed(line);
        cr_assert(!assembler.error() || !guaranteesNoEffect(*assembler.error()), "'%s' guarantees no effect", line);
        cr_assert(step == ReplyAssembler::Step::Invalid, "'%s'", line);
    }
}

// Guards against counting a line that is not a message of the protocol as part of an answer.
Test(LineCodec, rejectsInvalidEndpointMessages)
{
    for (const char* line : { "", " ", "DATAROW", "datarow a", " DATAROW a", "COMPLETE", "READY", "READY ", "READY I",
             "READY I ", "READY I  -", "READY  I -", "READY X -", "READY I - ", "READY I x", "READY I 3", "READY I 3.",
             "READY I .3", "READY I 3.1.2", "READY I 3.-1", "READY I 3.1 ", "READY I 03.1", "READY I 3.1\n",
             "READY I - 1", "READY I 3.99999999999999999999", "READY\tI -", "TERMINATE", "STARTUP a b" }) {
        ReplyAssembler assembler;
        cr_assert(assembler.feed(line) == ReplyAssembler::Step::Invalid, "'%s'", line);
    }
    for (const char* line : { "DATAROW b", "COMPLETE sig", "ERROR BUSY -" }) {
        ReplyAssembler assembler;
        assembler.feed("COMPLETE sig");
        cr_assert(assembler.feed(line) == ReplyAssembler::Step::Invalid, "'%s' after the outcome", line);
    }
}

// Guards against changing an answer's bytes on their way to the caller.
Test(LineCodec, passesAnswersOnUnchanged)
{
    using namespace std::string_literals;
    for (const std::string& answer : { "DATAROW \r\nCOMPLETE 7.1f3.c\r\nREADY I 3.1209\r\n"s,
             "DATAROW   a  b \r\nDATAROW a\nCOMPLETE 7.1\nREADY I -\r\nCOMPLETE 7.1\r\nREADY T -\r\n"s,
             "DATAROW \r\r\nDATAROW a\0b\r\nCOMPLETE -\r\nREADY I 0.0\r\n"s,
             "DATAROW a\r\nERROR FAILED  a  \r\nREADY E 3.1209\r\n"s, "ERROR READONLY i-7\r\nREADY E -\r\n"s }) {
        LineBuffer lines;
        lines.append(answer);
        ReplyAssembler assembler;
        ReplyAssembler::Step step = ReplyAssembler::Step::Pending;
        while (const auto line = lines.next())
            step = assembler.feed(*line);
        cr_assert(step == ReplyAssembler::Step::Complete, "%s", answer.c_str());
        cr_assert(encodeReply(assembler.take()) == answer, "%s", answer.c_str());
    }
}

// Guards against taking READY alone, which answers a startup, for the success of a statement.
Test(LineCodec, tellsReadyAloneFromAnAnswer)
{
    ReplyAssembler assembler;
    cr_assert(assembler.feed("READY I 3.12") == ReplyAssembler::Step::Complete);
    cr_assert(!assembler.hasOutcome());
    const Reply reply = assembler.take();
    cr_assert(!reply.error);
    cr_assert(reply.detail.empty());
    cr_assert(*reply.position == LogPosition({ 3, 12 }));
    for (const char* line : { "COMPLETE sig", "ERROR BUSY -" }) {
        assembler.feed(line);
        cr_assert(assembler.feed("READY I -") == ReplyAssembler::Step::Complete);
        cr_assert(assembler.hasOutcome(), "'%s'", line);
        assembler.take();
        cr_assert(!assembler.hasOutcome());
    }
    assembler.feed("DATAROW a");
    cr_assert(assembler.feed("READY I -") == ReplyAssembler::Step::Complete);
    cr_assert(!assembler.hasOutcome(), "rows alone are not an answer");
}

// Guards against treating an unknown error as a guarantee that the statement had no effect.
Test(LineCodec, unknownErrorDoesNotGuaranteeNoEffect)
{
    ReplyAssembler assembler;
    assembler.feed("ERROR SOMETHING new");
    assembler.feed("READY I -");
    cr_assert(!guaranteesNoEffect(*assembler.take().error));
}

// Guards against losing messages that arrive in several pieces, with the end of one split between CR and LF.
Test(LineCodec, splitsLines)
{
    LineBuffer lines;
    lines.append("QUERY 1 RE");
    cr_assert(!lines.next());
    lines.append("AD x\r\nTERM");
    cr_assert_eq(std::string(*lines.next()), "QUERY 1 READ x");
    cr_assert(!lines.next());
    lines.append("INATE\r");
    cr_assert(!lines.next());
    lines.append("\n");
    cr_assert_eq(std::string(*lines.next()), "TERMINATE");
    cr_assert(lines.isEmpty());
}

// Guards against ending a message inside its data: what follows would run as a statement or count as an answer.
Test(LineCodec, endsMessagesAtCarriageReturnAndLineFeedOnly)
{
    const std::vector<std::string> messages { "QUERY 1 WRITE 1a4 phwcufhf\ngrly", "DATAROW a\nCOMPLETE 7.1\nREADY I -",
        "TERMINATE\n", "\rx\ry\r", "\n\r", "", std::string("a\0b", 3), "\n" };
    std::string bytes;
    for (const std::string& message : messages)
        bytes += message + "\r\n";
    for (const std::size_t pieceSize : { std::size_t { 1 }, std::size_t { 3 }, bytes.size() }) {
        LineBuffer lines;
        std::vector<std::string> received;
        for (std::size_t at = 0; at < bytes.size(); at += pieceSize) {
            lines.append(std::string_view(bytes).substr(at, pieceSize));
            while (const auto line = lines.next())
                received.emplace_back(*line);
        }
        cr_assert(received == messages, "pieces of %zu bytes", pieceSize);
        cr_assert(lines.isEmpty());
    }
}

// Guards against buffering a message of unlimited length.
Test(LineCodec, limitsUnfinishedMessages)
{
    LineBuffer lines;
    lines.append(std::string(maximumMessageBytes, 'x'));
    cr_assert(!lines.next());
    cr_assert(!lines.isTooLong());
    lines.append("\r");
    cr_assert(!lines.next());
    cr_assert(!lines.isTooLong(), "the message may end here");
    lines.append("\n");
    cr_assert_eq(lines.next()->size(), maximumMessageBytes);
    lines.append(std::string(maximumMessageBytes + 1, 'x'));
    cr_assert(!lines.next());
    cr_assert(lines.isTooLong());
}

// Guards against passing on a message that is too long because its end has already arrived.
Test(LineCodec, limitsCompleteMessages)
{
    LineBuffer lines;
    lines.append("READY I -\r\n" + std::string(maximumMessageBytes + 1, 'x') + "\r\nREADY I -\r\n");
    cr_assert_eq(std::string(*lines.next()), "READY I -");
    cr_assert(!lines.next());
    cr_assert(lines.isTooLong());
    cr_assert(!lines.next(), "what follows a message that is too long is not read");
    cr_assert(lines.isTooLong());
}

// Guards against searching a long message from its start with each piece that arrives: that takes many seconds of
// processor time, one pass over the bytes takes some ten milliseconds.
Test(LineCodec, readsLongMessagesInSmallPiecesInLinearTime)
{
    constexpr std::size_t pieceSize = 2;
    constexpr std::clock_t maximumProcessorTime = CLOCKS_PER_SEC;
    const std::string piece(pieceSize, 'x');
    const std::clock_t start = std::clock();
    LineBuffer lines;
    for (std::size_t size = 0; size < maximumMessageBytes; size += pieceSize) {
        lines.append(piece);
        cr_assert(!lines.next());
    }
    lines.append("\r\n");
    cr_assert_eq(lines.next()->size(), maximumMessageBytes);
    cr_assert_lt(std::clock() - start, maximumProcessorTime);
}

// Guards against accepting a malformed status row.
Test(LineCodec, decodesStatusRows)
{
    const auto status = decodeStatusRow("replica 3 3.1209 0 12 2 17");
    cr_assert(status);
    cr_assert(!status->isPrimary);
    cr_assert_eq(status->term, 3U);
    cr_assert(status->received == LogPosition({ 3, 1209 }));
    cr_assert(decodeStatusRow("primary 4 4.1 0 0 0 1")->isPrimary);
    cr_assert(!decodeStatusRow("leader 3 3.1 0 0 0 1"));
    cr_assert(!decodeStatusRow("replica x 3.1"));
    cr_assert(!decodeStatusRow(""));
}

// Guards against a statement of the largest size that is silently not sent because the proxy's name for its prepared
// statement, or the position it adds, is longer than what the caller wrote.
Test(LineCodec, largestStatementsOfCallersAreSent)
{
    const std::string start = "QUERY 5 EXECUTE s x ";
    const std::string data(maximumMessageBytes - start.size(), 'd');
    const CallerMessage message = decodeCallerLine(start + data);
    const auto* statement = std::get_if<Statement>(&message);
    cr_assert(statement && statement->kind == StatementKind::Execute);
    EndpointCommand command;
    command.kind = EndpointCommand::Kind::ForwardPrepared;
    command.id = statement->id;
    command.name = "p10";
    command.argument = statement->argument;
    cr_assert(!encodeCommand(command).empty());
}

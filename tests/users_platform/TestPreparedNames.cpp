#include "almondlever/pooling/LinkContents.h"
#include "platform/LineCodec.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

/** The statement that an endpoint reads from the line of a command. */
Statement readByEndpoint(const EndpointCommand& command)
{
    const std::string line = encodeCommand(command);
    cr_assert_eq(line.substr(line.size() - 2), "\r\n");
    std::string_view text(line.data(), line.size() - 2);
    cr_assert_eq(std::string(takeWord(text)), "QUERY");
    cr_assert_eq(std::string(takeWord(text)), "-");
    // The id "-" is the proxy's own; a caller's makes the codec read the arguments.
    return decodeStatement("1", text);
}

} // namespace

// Scenario: a caller sent "EXECUTE s# #" and the endpoint ran "EXECUTE r_q# READ arpe #". Guards against names, modes
// and shapes that the endpoint splits at other places than the proxy.
Test(PreparedNames, endpointReadsTheShapeThatWasPrepared)
{
    LinkContents link;
    SessionContents session;
    for (const std::string shape : { "q2c", "q7 READ arpe", " q", "q ", "WRITE x", "\xc3\xa4\xff" }) {
        for (const bool isWrite : { false, true }) {
            session.prepared["s1"] = { isWrite, shape };
            const Statement execution = decodeStatement("1", "EXECUTE s1 x y");
            cr_assert(execution.kind == StatementKind::Execute);
            const std::vector<EndpointCommand> commands = link.prepareFor(session, execution);
            cr_assert_eq(commands.size(), 1U);
            const Statement prepared = readByEndpoint(commands[0]);
            cr_assert(prepared.kind == StatementKind::Prepare);
            cr_assert_eq(prepared.name, commands[0].name);
            cr_assert_eq(prepared.isWriteShape, isWrite);
            cr_assert_eq(prepared.argument, shape);
            EndpointCommand execute;
            execute.kind = EndpointCommand::Kind::ForwardPrepared;
            execute.name = commands[0].name;
            execute.argument = execution.argument;
            const Statement executed = readByEndpoint(execute);
            cr_assert(executed.kind == StatementKind::Execute);
            cr_assert_eq(executed.name, prepared.name);
            cr_assert_eq(executed.argument, "x y");
        }
    }
}

#include "almondlever/pooling/LinkContents.h"

#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace almondlever;
using Kind = EndpointCommand::Kind;

namespace {

Statement makeRead() { return { "1", StatementKind::Read, "READ x", "", "", false }; }

Statement makeExecute(const std::string& name) { return { "1", StatementKind::Execute, "EXECUTE", name, "x", false }; }

std::vector<Kind> kindsOf(const std::vector<EndpointCommand>& commands)
{
    std::vector<Kind> kinds;
    for (const EndpointCommand& command : commands)
        kinds.push_back(command.kind);
    return kinds;
}

/** The prepared statements that an endpoint holds after the commands, by name. */
using HeldShapes = std::map<std::string, std::string>;

void runCommands(HeldShapes& held, const std::vector<EndpointCommand>& commands)
{
    for (const EndpointCommand& command : commands) {
        if (command.kind == Kind::Reset)
            held.clear();
        if (command.kind == Kind::Prepare)
            held[command.name] = command.argument;
    }
}

} // namespace

// Guards against running a statement with a value set by another session.
Test(LinkContents, clearsForeignValues)
{
    LinkContents link;
    SessionContents first;
    first.values["zone"] = "1";
    SessionContents second;
    second.values["limit"] = "2";
    cr_assert(kindsOf(link.prepareFor(first, makeRead())) == std::vector<Kind>({ Kind::SetValue }));
    cr_assert(link.prepareFor(first, makeRead()).empty());
    cr_assert(kindsOf(link.prepareFor(second, makeRead())) == std::vector<Kind>({ Kind::Reset, Kind::SetValue }));
    cr_assert(kindsOf(link.prepareFor(SessionContents(), makeRead())) == std::vector<Kind>({ Kind::Reset }));
}

// Guards against running a statement with the former value of a name that its session, or another one, has set anew.
Test(LinkContents, sendsChangedValues)
{
    LinkContents link;
    SessionContents session;
    session.values["zone"] = "1";
    link.prepareFor(session, makeRead());
    session.values["zone"] = "2";
    const auto commands = link.prepareFor(session, makeRead());
    cr_assert(kindsOf(commands) == std::vector<Kind>({ Kind::SetValue }));
    cr_assert_eq(commands[0].argument, "2");
}

// Guards against executing another session's shape when two sessions use the same statement name.
Test(LinkContents, namesOfSessionsAreIndependent)
{
    LinkContents link;
    SessionContents first;
    first.prepared["s1"] = { false, "q2c" };
    SessionContents second;
    second.prepared["s1"] = { true, "q2c" };
    const auto prepared = link.prepareFor(first, makeExecute("s1"));
    cr_assert(kindsOf(prepared) == std::vector<Kind>({ Kind::Prepare }));
    const auto other = link.prepareFor(second, makeExecute("s1"));
    cr_assert(kindsOf(other) == std::vector<Kind>({ Kind::Prepare }));
    cr_assert_neq(prepared[0].name, other[0].name);
    cr_assert(link.prepareFor(first, makeExecute("s1")).empty());
}

// Guards against treating a prepared statement as present after a reset cleared it.
Test(LinkContents, resetClearsPreparedStatements)
{
    LinkContents link;
    SessionContents session;
    session.prepared["s1"] = { false, "q2c" };
    session.values["zone"] = "1";
    link.prepareFor(session, makeExecute("s1"));
    session.values.clear();
    const auto again = link.prepareFor(session, makeExecute("s1"));
    cr_assert(kindsOf(again) == std::vector<Kind>({ Kind::Reset, Kind::Prepare }));
}

// Guards against reusing values that a rollback may have undone.
Test(LinkContents, invalidationForcesAReset)
{
    LinkContents link;
    SessionContents session;
    session.values["zone"] = "1";
    link.prepareFor(session, makeRead());
    link.invalidate();
    cr_assert(link.countDifferences(session) > 0);
    cr_assert(kindsOf(link.prepareFor(session, makeRead())) == std::vector<Kind>({ Kind::Reset, Kind::SetValue }));
}

// Guards against names that an endpoint splits into several words, so that it prepares and runs another shape.
Test(LinkContents, namesAreOneWordOfLettersAndDigits)
{
    LinkContents link;
    SessionContents session;
    std::set<std::string> names;
    const std::vector<std::string> shapes { "q2c", "q7 READ arpe", " ", "q\nx", "q\r\nQUERY 1 READ x", "\xff\x00", "#",
        "p1", std::string(5000, 'q') };
    for (const bool isWrite : { false, true }) {
        for (const std::string& shape : shapes) {
            session.prepared["s1"] = { isWrite, shape };
            const std::vector<EndpointCommand> commands = link.prepareFor(session, makeExecute("s1"));
            cr_assert(kindsOf(commands) == std::vector<Kind>({ Kind::Prepare }));
            cr_assert_eq(commands[0].argument, shape);
            cr_assert_eq(commands[0].isWriteShape, isWrite);
            const std::string& name = commands[0].name;
            const bool isWord = !name.empty() && name.size() <= 24
                && name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789") == std::string::npos;
            cr_assert(isWord, "name %s", name.c_str());
            cr_assert(names.insert(name).second, "name %s is used twice", name.c_str());
        }
    }
}

// Guards against connections and maps that grow without limit while a caller prepares ever new shapes, and against a
// name that is given to a second shape after the connection was cleared.
Test(LinkContents, holdsALimitedNumberOfShapes)
{
    LinkContents link;
    SessionContents session;
    HeldShapes held;
    std::set<std::string> names;
    for (int number = 0; number < 2000; ++number) {
        const std::string shape = "q" + std::to_string(number);
        session.prepared["s1"] = { number % 2 == 0, shape };
        const std::vector<EndpointCommand> commands = link.prepareFor(session, makeExecute("s1"));
        runCommands(held, commands);
        cr_assert_eq(held.at(commands.back().name), shape);
        cr_assert_leq(held.size(), 128U);
        cr_assert(names.insert(commands.back().name).second);
    }
}

// Guards against connections that hold megabytes for one caller with few but large shapes.
Test(LinkContents, holdsALimitedSizeOfShapes)
{
    LinkContents link;
    SessionContents session;
    HeldShapes held;
    const std::vector<std::size_t> sizes { 1000, 100 * 1024, 200 * 1024, 300 * 1024, 1 };
    for (int number = 0; number < 50; ++number) {
        const std::string shape = std::to_string(number) + std::string(sizes[number % sizes.size()], 'q');
        session.prepared["s1"] = { false, shape };
        runCommands(held, link.prepareFor(session, makeExecute("s1")));
        std::size_t bytes = 0;
        for (const auto& [name, text] : held)
            bytes += text.size();
        cr_assert(bytes <= 256 * 1024 || held.size() == 1, "%zu bytes in %zu shapes", bytes, held.size());
    }
}

// Guards against clearing a connection inside a transaction although it holds only a transaction's usual number of
// shapes, and against a transaction that makes it hold ever more.
Test(LinkContents, clearsInsideATransactionOnlyBeyondAMultipleOfTheLimit)
{
    LinkContents link;
    SessionContents session;
    session.values["zone"] = "1";
    HeldShapes held;
    for (int number = 0; number < 2000; ++number) {
        session.prepared["s1"] = { false, "q" + std::to_string(number) };
        const std::vector<EndpointCommand> commands = link.prepareFor(session, makeExecute("s1"), true);
        const bool isCleared = commands.front().kind == Kind::Reset;
        cr_assert(!isCleared || held.size() == 512);
        const std::vector<Kind> whenCleared { Kind::Reset, Kind::SetValue, Kind::Prepare };
        cr_assert(!isCleared || kindsOf(commands) == whenCleared);
        runCommands(held, commands);
        cr_assert_leq(held.size(), 512U);
    }
    const std::vector<Kind> afterwards = kindsOf(link.prepareFor(session, makeRead()));
    cr_assert(afterwards == std::vector<Kind>({ Kind::Reset, Kind::SetValue }));
}

#include "standin/DatabaseServer.h"
#include "standin/FileJournal.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace almondlever;
using namespace almondlever::standin;

namespace {

const VmId firstVm("vm-1");
const VmId secondVm("vm-2");
const TimePoint start {};

EndpointStatement write(const std::string& id, const std::string& value, Term term)
{
    EndpointStatement statement;
    statement.requestId = RequestId(id);
    statement.kind = OperationKind::Write;
    statement.key = "lot";
    statement.value = value;
    statement.term = term;
    return statement;
}

EndpointStatement read()
{
    EndpointStatement statement;
    statement.key = "lot";
    return statement;
}

bool isDone(const DatabaseServer::Checked& result) { return result.hasValue(); }

void makePrimary(DatabaseServer& server, Term term)
{
    cr_assert(isDone(server.raiseTerm(term, firstVm)));
    cr_assert(isDone(server.promote(term)));
}

template <typename Value> bool isRefused(const EndpointResult<Value>& result, EndpointErrorCode code)
{
    return !result && result.error().code == code && result.error().outcome == Outcome::NotRun;
}

/** Copies what the replica lacks, as a replication stream does. */
DatabaseServer::Checked replicate(const DatabaseServer& primary, DatabaseServer& replica, TimePoint asOf)
{
    return replica.applyBatch(primary.batchAfter(primary.log().commonIndex(replica.log().termEnds()), 100), asOf);
}

} // namespace

// Guards against two proposers that both believe a server promised them the same term.
Test(DatabaseServer, promisesTermToOneProposer)
{
    DatabaseServer server(EndpointId("a"));
    cr_assert(isDone(server.raiseTerm(2, firstVm)));
    cr_assert(isDone(server.raiseTerm(2, firstVm)));
    cr_assert(isRefused(server.raiseTerm(2, secondVm), EndpointErrorCode::TermRefused));
    cr_assert(isRefused(server.raiseTerm(1, firstVm), EndpointErrorCode::TermRefused));
    cr_assert(isRefused(server.promote(1), EndpointErrorCode::TermRefused));
    cr_assert(isDone(server.raiseTerm(3, secondVm)));
}

// Guards against a superseded primary that accepts writes, and against a term taken over by a follow.
Test(DatabaseServer, refusesWritesOfOtherTerms)
{
    DatabaseServer server(EndpointId("a"));
    makePrimary(server, 1);
    cr_assert(server.execute(write("r1", "x", 1), nullptr, start).hasValue());
    cr_assert(isRefused(server.execute(write("r2", "y", 2), nullptr, start), EndpointErrorCode::NotPrimary));
    cr_assert(isDone(server.raiseTerm(2, secondVm)));
    cr_assert(isRefused(server.execute(write("r3", "z", 1), nullptr, start), EndpointErrorCode::NotPrimary));
    cr_assert(isDone(server.follow(3, EndpointId("b"), "")));
    cr_assert(isRefused(server.raiseTerm(3, firstVm), EndpointErrorCode::TermRefused));
    cr_assert(isRefused(server.promote(3), EndpointErrorCode::TermRefused));
}

// Guards against a repeated promotion that adds markers, which would move positions without a write.
Test(DatabaseServer, appendsOneMarkerInTerm)
{
    DatabaseServer server(EndpointId("a"));
    makePrimary(server, 4);
    cr_assert(isDone(server.promote(4)));
    cr_assert(server.log().end() == (LogPosition { 4, 1 }));
}

// Guards against a returning primary that keeps unacknowledged entries, and against batches of an older primary.
Test(DatabaseServer, dropsTailThatPrimaryDoesNotHave)
{
    DatabaseServer old(EndpointId("a"));
    DatabaseServer next(EndpointId("b"));
    makePrimary(old, 1);
    cr_assert(isDone(next.follow(1, EndpointId("a"), "")));
    cr_assert(old.execute(write("kept", "1", 1), nullptr, start).hasValue());
    cr_assert(isDone(replicate(old, next, start)));
    cr_assert(old.execute(write("lost", "2", 1), nullptr, start).hasValue());
    makePrimary(next, 2);
    cr_assert(isRefused(replicate(old, next, start), EndpointErrorCode::TermRefused));
    cr_assert(next.execute(write("new", "3", 2), nullptr, start).hasValue());
    cr_assert(isDone(old.follow(2, EndpointId("b"), "")));
    cr_assert(isDone(replicate(next, old, start)));
    cr_assert(old.log().end() == (LogPosition { 2, 4 }));
    cr_assert(*old.log().find("lot") == "3");
    cr_assert(!old.log().resultOf(RequestId("lost")));
    cr_assert(old.log().resultOf(RequestId("kept")).has_value());
}

// Guards against a repeated write that runs twice, also when the repeat reaches another server.
Test(DatabaseServer, returnsFirstResultOfKnownRequest)
{
    DatabaseServer old(EndpointId("a"));
    DatabaseServer next(EndpointId("b"));
    makePrimary(old, 1);
    cr_assert(isDone(next.follow(1, EndpointId("a"), "")));
    const LogPosition first = old.execute(write("r1", "1", 1), nullptr, start).value().position;
    cr_assert(isDone(replicate(old, next, start)));
    makePrimary(next, 2);
    const auto repeated = next.execute(write("r1", "1", 2), nullptr, start);
    cr_assert(repeated.hasValue() && repeated.value().isDuplicate);
    cr_assert(repeated.value().position == first);
    cr_assert(next.log().end() == (LogPosition { 2, 3 }));
}

// Guards against two daemons that both hold the claim of a server.
Test(DatabaseServer, changesClaimByCompareAndSet)
{
    DatabaseServer server(EndpointId("a"));
    cr_assert(isDone(server.claim(0, firstVm)));
    cr_assert(isRefused(server.claim(0, secondVm), EndpointErrorCode::ClaimLost));
    cr_assert(isRefused(server.execute(read(), nullptr, start), EndpointErrorCode::ClaimLost));
    EndpointStatement current = read();
    current.claimEpoch = 1;
    cr_assert(server.execute(current, nullptr, start).hasValue());
}

// Guards against transactions that apply in part: at the primary, at a replica, or after the claim moved on.
Test(DatabaseServer, appliesTransactionWholeOrNotAtAll)
{
    DatabaseServer server(EndpointId("a"));
    makePrimary(server, 1);
    Transaction transaction { 1, {} };
    cr_assert(server.execute(write("t1", "own", 1), &transaction, start).hasValue());
    cr_assert(server.execute(write("t2", "last", 1), &transaction, start).hasValue());
    cr_assert(*server.execute(read(), &transaction, start).value().value == "last");
    cr_assert(!server.execute(read(), nullptr, start).value().value);
    EndpointStatement header = write("commit", "", 1);
    cr_assert(server.commit(header, &transaction, start).value().position == (LogPosition { 1, 3 }));
    cr_assert(server.commit(header, nullptr, start).value().isDuplicate);
    cr_assert(server.batchAfter(1, 1).entries.size() == 2);
    cr_assert(isDone(server.claim(0, secondVm)));
    header.requestId = RequestId("late");
    cr_assert(isRefused(server.commit(header, nullptr, start), EndpointErrorCode::ClaimLost));
    cr_assert(isRefused(server.execute(write("late", "outside", 1), nullptr, start), EndpointErrorCode::ClaimLost));
    cr_assert(server.commit(header, &transaction, start).value().position == (LogPosition { 1, 5 }));
    cr_assert(isDone(server.raiseTerm(2, VmId("other"))));
    header.requestId = RequestId("later");
    cr_assert(isRefused(server.commit(header, &transaction, start), EndpointErrorCode::NotPrimary));
}

// Guards against replicas that serve older data than the session or the caller's rule allows.
Test(DatabaseServer, checksPositionAndStalenessOfReads)
{
    DatabaseServer primary(EndpointId("a"));
    DatabaseServer replica(EndpointId("b"));
    makePrimary(primary, 1);
    cr_assert(isDone(replica.follow(1, EndpointId("a"), "")));
    EndpointStatement statement = read();
    statement.maximumStaleness = Milliseconds(100);
    cr_assert(isRefused(replica.execute(statement, nullptr, start), EndpointErrorCode::TooStale));
    cr_assert(isDone(replicate(primary, replica, start)));
    cr_assert(replica.execute(statement, nullptr, start + Milliseconds(100)).hasValue());
    cr_assert(isRefused(replica.execute(statement, nullptr, start + Milliseconds(101)), EndpointErrorCode::TooStale));
    statement.maximumStaleness.reset();
    statement.minimumPosition = { 1, 2 };
    cr_assert(isRefused(replica.execute(statement, nullptr, start), EndpointErrorCode::Behind));
}

// Guards against a killed server that forgets its promise, claim or answered writes, or keeps half a record.
Test(FileJournal, restoresStateAfterKill)
{
    const std::string path = "/tmp/almondlever-journal-" + std::to_string(::getpid());
    std::remove(path.c_str());
    {
        FileJournal journal(path);
        DatabaseServer server(EndpointId("a"), &journal);
        makePrimary(server, 3);
        cr_assert(isDone(server.claim(0, secondVm)));
        cr_assert(server.log().end() == (LogPosition { 3, 1 }));
        EndpointStatement statement = write("r1", "kept", 3);
        statement.claimEpoch = 1;
        cr_assert(server.execute(statement, nullptr, start).hasValue());
    }
    std::ofstream(path, std::ios::app) << "{\"entries\":[[3,3,fal";
    FileJournal journal(path);
    JournalContent content = journal.takeContent();
    DatabaseServer server(EndpointId("a"), &journal);
    server.restore(std::move(content.state), std::move(content.entries));
    std::remove(path.c_str());
    cr_assert(server.isPrimary() && server.log().end() == (LogPosition { 3, 2 }));
    cr_assert(server.state().claim.epoch == 1 && server.state().claim.owner == secondVm);
    cr_assert(isRefused(server.raiseTerm(3, secondVm), EndpointErrorCode::TermRefused));
    cr_assert(server.log().resultOf(RequestId("r1")).has_value());
}

#include "almondlever/failover/LogHolders.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

EndpointEntry entry(const std::string& id, int startedAt = 1, bool isLeaving = false)
{
    EndpointEntry entry;
    entry.id = EndpointId(id);
    entry.group = GroupId("ledger");
    entry.address = "10.0.0.1:1";
    entry.startedAt = Milliseconds(startedAt);
    entry.isLeaving = isLeaving;
    return entry;
}

LogHolders recordOf(const std::vector<EndpointEntry>& listed)
{
    LogHolders record;
    record.addListed(listed);
    record.raiseGroupSize(listed);
    record.confirm({ 1, 5 }, 1);
    return record;
}

} // namespace

// Guards against a record that another daemon, or a later version, cannot read.
Test(LogHolders, recordIsReadAsItWasWritten)
{
    const LogHolders record = recordOf({ entry("a", 17), entry("odd id\n%", 18, true), entry("c") });
    const std::optional<LogHolders> read = LogHolders::decode(record.encode());
    cr_assert(read.has_value());
    cr_assert_eq(read->groupSize(), 2U);
    cr_assert_eq(read->all().size(), 3U);
    cr_assert(read->all()[1].id == EndpointId("odd id\n%"));
    cr_assert_eq(read->all()[1].startedAt.count(), 18);
    cr_assert(read->all()[1].isLeaving);
    cr_assert_eq(read->encode(), record.encode());
    cr_assert_eq(record.encode(),
        "1 2 1 1 5 a 17 10.0.0.1:1 replica stays alone odd%20id%0a%25 18 10.0.0.1:1 replica leaves alone "
        "c 1 10.0.0.1:1 replica stays alone",
        "bytes in the store");
}

// Guards against promoting over bytes that another writer left, or over a record without holders.
Test(LogHolders, foreignBytesAreNoRecord)
{
    for (const char* text :
        { "", "open", "1", "1 3", "2 1 a 1 stays", "1 1 a", "1 1 a x stays", "1 1 a 1 gone", "1 -" })
        cr_assert_not(LogHolders::decode(text).has_value(), "%s", text);
}

// Guards against counting fewer logs after an entry has lapsed: the endpoint may hold the only other copy of a commit.
Test(LogHolders, missingEntryDoesNotLowerTheNumberOfLogs)
{
    LogHolders record = recordOf({ entry("a"), entry("b"), entry("c") });
    const std::vector<EndpointEntry> listed { entry("b"), entry("c") };
    cr_assert_not(record.addListed(listed));
    cr_assert(record.replaceable(listed).empty());
    cr_assert_eq(record.removeConfirmed(record.missingFrom(listed), listed), 0U);
    cr_assert_eq(record.requiredLogs(1), 2U);
    cr_assert_eq(record.missingFrom(listed).size(), 1U);
}

// Guards against a group that waits for ever for an endpoint that another one has replaced.
Test(LogHolders, replacedEndpointIsRemoved)
{
    LogHolders record = recordOf({ entry("a"), entry("b"), entry("c") });
    const std::vector<EndpointEntry> listed { entry("a"), entry("b"), entry("d") };
    cr_assert(record.addListed(listed));
    cr_assert_eq(record.requiredLogs(1), 3U, "until the removal, any of the four may hold a commit");
    const std::vector<LogHolder> gone = record.replaceable(listed);
    cr_assert_eq(gone.size(), 1U);
    cr_assert(gone[0].id == EndpointId("c"));
    cr_assert_eq(record.removeConfirmed(gone, listed), 1U);
    cr_assert_eq(record.groupSize(), 3U);
    cr_assert_eq(record.requiredLogs(1), 2U);
}

// Guards against dropping an endpoint that came back while its removal was being confirmed.
Test(LogHolders, endpointThatReturnedIsNotRemoved)
{
    LogHolders record = recordOf({ entry("a"), entry("b"), entry("c") });
    record.addListed({ entry("a"), entry("b"), entry("d") });
    const std::vector<LogHolder> gone = record.replaceable({ entry("a"), entry("b"), entry("d") });
    cr_assert_eq(record.removeConfirmed(gone, { entry("a"), entry("b"), entry("c"), entry("d") }), 0U);
}

// Guards against a group that is never smaller: an endpoint that announced to leave and is gone takes its place along.
Test(LogHolders, groupShrinksByEndpointsThatLeave)
{
    LogHolders record = recordOf({ entry("a"), entry("b"), entry("c") });
    cr_assert(record.addListed({ entry("a"), entry("b"), entry("c", 1, true) }));
    const std::vector<EndpointEntry> listed { entry("a"), entry("b") };
    const std::vector<LogHolder> gone = record.replaceable(listed);
    cr_assert_eq(record.removeConfirmed(gone, listed), 1U);
    cr_assert_eq(record.groupSize(), 2U);
    cr_assert_eq(record.requiredLogs(1), 1U);
}

// Guards against a release after which the group counts as smaller although each endpoint was replaced.
Test(LogHolders, replacedLeavingEndpointKeepsTheSize)
{
    LogHolders record = recordOf({ entry("a"), entry("b"), entry("c") });
    record.addListed({ entry("a"), entry("b"), entry("c", 1, true), entry("d") });
    const std::vector<EndpointEntry> listed { entry("a"), entry("b"), entry("d") };
    cr_assert_eq(record.removeConfirmed(record.replaceable(listed), listed), 1U);
    cr_assert_eq(record.groupSize(), 3U);
}

// Guards against counting an empty log as the one that the endpoint had before its restart.
Test(LogHolders, restartedEndpointIsAnotherHolder)
{
    LogHolders record = recordOf({ entry("a"), entry("b"), entry("c") });
    const std::vector<EndpointEntry> listed { entry("b", 2), entry("c") };
    cr_assert(record.addListed(listed));
    cr_assert_eq(record.all().size(), 4U);
    cr_assert_eq(record.requiredLogs(1), 3U);
    cr_assert_eq(record.missingFrom(listed).size(), 2U);
    // The former run has ended, also while another endpoint is missing.
    const std::vector<LogHolder> gone = record.replaceable(listed);
    cr_assert_eq(gone.size(), 1U);
    cr_assert(gone[0].id == EndpointId("b"));
    cr_assert_eq(record.removeConfirmed(gone, listed), 1U);
    cr_assert_eq(record.requiredLogs(1), 2U);
    cr_assert_eq(record.groupSize(), 3U);
}

// Guards against numbers of logs that miss the copies: groups of other sizes, and without synchronous replicas.
Test(LogHolders, requiredLogsFollowTheNumberOfCopies)
{
    LogHolders five = recordOf({ entry("a"), entry("b"), entry("c"), entry("d"), entry("e") });
    cr_assert_eq(five.requiredLogs(1), 4U);
    cr_assert_eq(five.requiredLogs(0), 4U);
    cr_assert_eq(five.requiredLogs(2), 4U, "commits from before have one copy beside the primary's");
    five.confirm({ 1, 9 }, 2);
    cr_assert_eq(five.requiredLogs(2), 3U);
    cr_assert(five.lowerCopies(1));
    cr_assert_eq(five.requiredLogs(2), 4U);
    cr_assert_eq(recordOf({ entry("a") }).requiredLogs(1), 1U);
}

// Guards against a restored store whose copy of the record lacks an endpoint that has joined since.
Test(LogHolders, formerRecordIsMergedIntoAnOlderCopy)
{
    const LogHolders former = recordOf({ entry("a"), entry("b"), entry("c"), entry("d") });
    LogHolders copy = recordOf({ entry("a"), entry("b") });
    cr_assert(copy.addAll(former));
    cr_assert_eq(copy.all().size(), 4U);
    cr_assert_eq(copy.groupSize(), 4U);
    cr_assert_not(copy.addAll(former));
}

#include "almondlever/common/StoreEra.h"
#include "almondlever/groups/EndpointDirectory.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const GroupId group("ledger");
const EndpointId a("a");
const EndpointId b("b");
const TimePoint start { std::chrono::hours(1) };

EndpointEntry makeEntry(const EndpointId& id, bool saysPrimary, std::uint64_t revision)
{
    EndpointEntry entry;
    entry.id = id;
    entry.group = group;
    entry.saysPrimary = saysPrimary;
    entry.startedAt = Milliseconds(7);
    entry.revision = revision;
    return entry;
}

bool leads(const EndpointDirectory& directory, const EndpointId& id)
{
    const EndpointEntry* primary = directory.primaryOf(group);
    return primary && primary->id == id;
}

} // namespace

// Guards against dropping endpoints whose entries lapsed with an outage of the store and come back.
Test(EndpointDirectory, keepsALapsedEntryForTheGracePeriod)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.lapse(a, 1, start);
    cr_assert(directory.removeLapsed(start + Milliseconds(1900)).empty());
    cr_assert(directory.find(a));
    directory.noteStoreReturned(start + Milliseconds(1900));
    cr_assert(directory.removeLapsed(start + Milliseconds(3800)).empty());
    cr_assert_eq(directory.removeLapsed(start + Milliseconds(3900)).size(), 1U);
    cr_assert(!directory.find(a));
}

// Guards against a snapshot that leaves entries of servers that are gone.
Test(EndpointDirectory, snapshotLapsesMissingEntries)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.update(makeEntry(b, false, 2), start);
    directory.replaceAll({ makeEntry(b, false, 2) }, start);
    cr_assert(directory.isLapsing(a));
    cr_assert(!directory.isLapsing(b));
    directory.update(makeEntry(a, true, 3), start);
    cr_assert(!directory.isLapsing(a));
}

// Guards against work for a superseded primary behind a partition, whose entry still says that it leads.
Test(EndpointDirectory, proofOfALaterTermWinsOverAnEntry)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.update(makeEntry(b, false, 2), start);
    cr_assert(leads(directory, a));
    directory.noteLeading(b, 2);
    cr_assert(leads(directory, b));
    directory.noteLeading(a, 1);
    cr_assert(leads(directory, b), "an answer of an earlier term came late");
}

// Guards against going on to ask an endpoint that has refused to lead.
Test(EndpointDirectory, refusalCountsUntilTheEntryIsWrittenAnew)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.noteNotLeading(a);
    cr_assert(!directory.primaryOf(group));
    directory.update(makeEntry(a, true, 5), start);
    cr_assert(leads(directory, a));
}

// Guards against an old entry that arrives after a newer one.
Test(EndpointDirectory, olderRevisionChangesNothing)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 5), start);
    directory.update(makeEntry(a, false, 4), start);
    cr_assert(leads(directory, a));
}

// Guards against trusting the lead of a server that was born again under its id and knows nothing of before.
Test(EndpointDirectory, rebirthEndsAProvenLead)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, false, 1), start);
    directory.noteLeading(a, 3);
    cr_assert(leads(directory, a));
    EndpointEntry reborn = makeEntry(a, false, 2);
    reborn.startedAt = Milliseconds(8);
    directory.update(reborn, start);
    cr_assert(!directory.primaryOf(group));
}

// Guards against counting the time of a leaving endpoint anew with each of its entries.
Test(EndpointDirectory, leavingCountsFromTheFirstEntry)
{
    EndpointDirectory directory;
    EndpointEntry entry = makeEntry(a, true, 1);
    entry.isLeaving = true;
    directory.update(entry, start);
    entry.revision = 2;
    directory.update(entry, start + Milliseconds(500));
    cr_assert(*directory.leavingSince(a) == start);
}

// Pattern: an endpoint that was cut off and replaced is reachable again and writes its former entry anew.
// Guards against leaving a leader that answers for an endpoint that only says that it leads.
Test(EndpointDirectory, lateAnnouncementDoesNotDisplaceALeaderThatAnswers)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.update(makeEntry(b, true, 2), start);
    directory.noteLeading(b, 2);
    directory.lapse(a, 1, start);
    directory.removeLapsed(start + Milliseconds(2000));
    directory.update(makeEntry(a, true, 9), start);
    cr_assert(leads(directory, a), "it may have taken over; its answer decides");
    directory.noteLeading(b, 2);
    cr_assert(leads(directory, b));
    directory.update(makeEntry(a, true, 12), start);
    cr_assert(leads(directory, b), "it says nothing new");
}

// Guards against staying with a former leader whose answer was on its way when the next one announced itself.
Test(EndpointDirectory, refusalAfterALateProofLeavesTheAnnouncedLeader)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.noteLeading(a, 1);
    directory.update(makeEntry(b, true, 5), start);
    directory.noteLeading(a, 1);
    cr_assert(leads(directory, a));
    directory.noteNotLeading(a);
    cr_assert(leads(directory, b));
}

// Guards against an endpoint that is counted in the group it served before, as addresses and ids are used again.
Test(EndpointDirectory, endpointBelongsToOneGroup)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    EndpointEntry moved = makeEntry(a, false, 2);
    moved.group = GroupId("other");
    directory.update(moved, start);
    cr_assert(directory.endpointsOf(group).empty());
    cr_assert(!directory.primaryOf(group));
    cr_assert_eq(directory.endpointsOf(GroupId("other")).size(), 1U);
    cr_assert_eq(directory.groups().size(), 1U);
    directory.lapse(a, 2, start);
    directory.removeLapsed(start + Milliseconds(2000));
    cr_assert(directory.groups().empty());
}

// Pattern: the list is read anew while a watch waits, which then tells an older deletion.
// Guards against dropping an endpoint that has registered again since.
Test(EndpointDirectory, olderDeletionChangesNothing)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 9), start);
    directory.lapse(a, 8, start);
    cr_assert(!directory.isLapsing(a));
    directory.lapse(a, 10, start);
    cr_assert(directory.isLapsing(a));
}

// Pattern: the store is restored from a copy that is seconds old, and lists an endpoint as it was before a change of
// the primary. Guards against work for the former primary, and against an endpoint that stops and gets work again.
Test(EndpointDirectory, entryOfACopyIsNoNews)
{
    EndpointDirectory directory;
    EndpointEntry former = makeEntry(a, true, storeEra::combine(1, 10));
    former.sequence = 5;
    EndpointEntry next = makeEntry(b, false, storeEra::combine(1, 11));
    next.sequence = 5;
    directory.replaceAll({ former, next }, start);
    EndpointEntry superseded = makeEntry(a, false, storeEra::combine(1, 20));
    superseded.sequence = 7;
    superseded.isLeaving = true;
    directory.update(superseded, start);
    EndpointEntry promoted = makeEntry(b, true, storeEra::combine(1, 21));
    promoted.sequence = 7;
    directory.update(promoted, start);
    cr_assert(leads(directory, b));
    former.revision = storeEra::combine(2, 10);
    next.revision = storeEra::combine(2, 11);
    directory.replaceAll({ former, next }, start);
    cr_assert(leads(directory, b));
    cr_assert(directory.leavingSince(a));
    cr_assert(!directory.isLapsing(a) && !directory.isLapsing(b));
    EndpointEntry anew = makeEntry(b, false, storeEra::combine(2, 12));
    anew.sequence = 8;
    directory.update(anew, start);
    cr_assert(!leads(directory, b), "what the endpoint writes after the restore counts");
}

// Guards against an endpoint that left and that a restored store lists again, and against forgetting it for ever.
Test(EndpointDirectory, departedEndpointDoesNotReturnFromACopy)
{
    EndpointDirectory directory;
    EndpointEntry entry = makeEntry(a, true, storeEra::combine(1, 10));
    entry.sequence = 5;
    directory.update(entry, start);
    directory.lapse(a, storeEra::combine(1, 11), start);
    cr_assert_eq(directory.removeLapsed(start + Milliseconds(2000)).size(), 1U);
    entry.revision = storeEra::combine(2, 10);
    directory.replaceAll({ entry }, start + Milliseconds(2100));
    cr_assert(!directory.find(a));
    entry.revision = storeEra::combine(2, 12);
    entry.sequence = 6;
    directory.update(entry, start + Milliseconds(2200));
    cr_assert(directory.find(a), "it lives, since it has written again");
}

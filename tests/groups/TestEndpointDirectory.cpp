#include "almondlever/common/StoreEra.h"
#include "almondlever/groups/EndpointDirectory.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const GroupId group("ledger");
const EndpointId a("a");
const EndpointId b("b");
const TimePoint start { std::chrono::hours(1) };

EndpointEntry makeEntry(const EndpointId& id, bool reportsPrimary, std::uint64_t revision)
{
    EndpointEntry entry;
    entry.id = id;
    entry.group = group;
    entry.reportsPrimary = reportsPrimary;
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

// Guards against removing endpoints whose entries lapsed during an outage of the store and will return.
Test(EndpointDirectory, keepsAMissingEntryForTheGracePeriod)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.lapse(a, 1, start);
    cr_assert(directory.removeLapsed(start + Milliseconds(1900)).empty());
    cr_assert(directory.find(a));
    directory.restartGracePeriods(start + Milliseconds(1900));
    cr_assert(directory.removeLapsed(start + Milliseconds(3800)).empty());
    cr_assert_eq(directory.removeLapsed(start + Milliseconds(3900)).size(), 1U);
    cr_assert(!directory.find(a));
}

// Guards against keeping entries that are missing from a snapshot.
Test(EndpointDirectory, snapshotStartsGracePeriodOfMissingEntries)
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

// Guards against a list that becomes shorter without a line in the log, and against a line with each snapshot for an
// entry that is missing already.
Test(EndpointDirectory, reportsMissingAndRemovedEntriesOnce)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.update(makeEntry(b, false, 2), start);
    const std::vector<EndpointEntry> missing = directory.replaceAll({ makeEntry(b, false, 2) }, start);
    cr_assert_eq(missing.size(), 1U);
    cr_assert(missing[0].id == a && missing[0].group == group && missing[0].startedAt == Milliseconds(7));
    cr_assert(directory.replaceAll({ makeEntry(b, false, 2) }, start + Milliseconds(1000)).empty());
    const std::vector<EndpointEntry> removed = directory.removeLapsed(start + Milliseconds(2000));
    cr_assert_eq(removed.size(), 1U);
    cr_assert(removed[0].id == a && removed[0].group == group && removed[0].startedAt == Milliseconds(7));
    cr_assert(directory.removeLapsed(start + Milliseconds(2000)).empty());
}

// Guards against sending work to a superseded, partitioned primary whose entry still reports it as primary.
Test(EndpointDirectory, proofOfALaterTermOverridesAnEntry)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.update(makeEntry(b, false, 2), start);
    cr_assert(leads(directory, a));
    directory.noteLeading(b, 2);
    cr_assert(leads(directory, b));
    directory.noteLeading(a, 1);
    cr_assert(leads(directory, b), "an answer of an earlier term arrived late");
}

// Guards against sending further work to an endpoint that refused it as not being the primary.
Test(EndpointDirectory, refusalCountsUntilTheEntryIsRewritten)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 1), start);
    directory.noteNotLeading(a);
    cr_assert(!directory.primaryOf(group));
    directory.update(makeEntry(a, true, 5), start);
    cr_assert(leads(directory, a));
}

// Guards against applying an old entry that arrives after a newer one.
Test(EndpointDirectory, olderRevisionIsIgnored)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 5), start);
    directory.update(makeEntry(a, false, 4), start);
    cr_assert(leads(directory, a));
}

// Guards against keeping the proven role of an endpoint that restarted under its id without its data.
Test(EndpointDirectory, restartWithoutDataEndsAProvenRole)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, false, 1), start);
    directory.noteLeading(a, 3);
    cr_assert(leads(directory, a));
    EndpointEntry restarted = makeEntry(a, false, 2);
    restarted.startedAt = Milliseconds(8);
    directory.update(restarted, start);
    cr_assert(!directory.primaryOf(group));
}

// Guards against restarting a leaving endpoint's time with each of its entries.
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

// An endpoint that was partitioned and replaced is reachable again and rewrites its former entry.
// Guards against abandoning a primary that answers for an endpoint that merely reports itself as primary.
Test(EndpointDirectory, lateAnnouncementDoesNotReplaceAnAnsweringPrimary)
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
    cr_assert(leads(directory, b), "the rewritten entry is no new announcement");
}

// Guards against keeping a former primary whose answer was in transit when its successor announced itself.
Test(EndpointDirectory, refusalAfterALateProofSelectsTheAnnouncedPrimary)
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

// Guards against listing an endpoint in its former group; addresses and ids are reused.
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

// The list is re-read while a watch is pending, which then delivers an older deletion.
// Guards against removing an endpoint that has registered again in the meantime.
Test(EndpointDirectory, olderDeletionIsIgnored)
{
    EndpointDirectory directory;
    directory.update(makeEntry(a, true, 9), start);
    directory.lapse(a, 8, start);
    cr_assert(!directory.isLapsing(a));
    directory.lapse(a, 10, start);
    cr_assert(directory.isLapsing(a));
}

// The store is restored from a backup that is seconds old and lists endpoints as they were before a change of primary.
// Guards against sending work to the former primary, and to an endpoint that is shutting down.
Test(EndpointDirectory, outdatedEntryOfARestoredBackupIsIgnored)
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
    EndpointEntry rewritten = makeEntry(b, false, storeEra::combine(2, 12));
    rewritten.sequence = 8;
    directory.update(rewritten, start);
    cr_assert(!leads(directory, b), "what the endpoint writes after the restore counts");
}

// Guards against re-adding a removed endpoint that a restored store lists, and against ignoring it when it returns.
Test(EndpointDirectory, removedEndpointDoesNotReturnFromABackup)
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
    cr_assert(directory.find(a), "it is alive, because it has written a new entry");
}

#include "almondlever/front/FleetMembers.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const TimePoint start { std::chrono::hours(1) };
const LiveDaemon self { VmId("m"), FailureDomainId("d1"), "10.0.0.1:1", false };

LiveDaemon makeDaemon(const std::string& name) { return { VmId(name), FailureDomainId("d2"), "10.0.0.2:1", false }; }

} // namespace

// Guards against a view without this daemon, or in a different order on each daemon.
Test(FleetMembers, viewIsSortedAndContainsSelf)
{
    FleetMembers members(self);
    cr_assert_eq(members.view().daemons.size(), 1U);
    cr_assert(members.add("z", FleetMembers::encode(makeDaemon("z"))));
    cr_assert(members.add("a", FleetMembers::encode(makeDaemon("a"))));
    cr_assert(members.add("m", FleetMembers::encode(self)));
    const auto daemons = members.view().daemons;
    cr_assert_eq(daemons.size(), 3U);
    cr_assert(daemons[0].id == VmId("a") && daemons[1].id == VmId("m") && daemons[2].id == VmId("z"));
    cr_assert_eq(daemons[0].peerAddress, "10.0.0.2:1");
}

// Guards against a daemon that counts as a peer, an owner or a watcher although its entry names no address to reach it,
// and against taking a leaving daemon for a staying one because its capacity is out of range.
Test(FleetMembers, rejectsEntriesOfAnotherWriter)
{
    FleetMembers members(makeDaemon("m"));
    for (const char* value : { "", "d2", "d2 10.0.0.2", "d2 10.0.0.2:99999", "d2 10.0.0.2:0", "d2 10.0.0.2:1 many",
             "d2 10.0.0.2:1 -4", "d2 10.0.0.2:1 99999999999 leaving", "\xff\xfe" })
        cr_assert(!members.add("a", value), "%s", value);
    cr_assert(!members.add("", "d2 10.0.0.2:1"));
    cr_assert_eq(members.view().daemons.size(), 1U);
    cr_assert(members.add("a", "d2 10.0.0.2:1 400 leaving"));
    cr_assert_eq(members.view().daemons.size(), 2U);
}

// Guards against losing a VM's capacity in its entry, and against refusing entries of an earlier version.
Test(FleetMembers, entryContainsTheCapacity)
{
    FleetMembers members(self);
    LiveDaemon strong = makeDaemon("a");
    strong.capacity = 50;
    cr_assert(members.add("a", FleetMembers::encode(strong)));
    cr_assert_eq(members.view().daemons[0].capacity, 50U);
    cr_assert(members.add("a", "d2 10.0.0.2:1"));
    cr_assert_eq(members.view().daemons[0].capacity, 0U);
    cr_assert_eq(members.view().daemons[0].peerAddress, "10.0.0.2:1");
}

// Guards against work sent to a daemon that shuts down, since a deleted key still counts for a grace period.
Test(FleetMembers, entryTellsThatADaemonLeaves)
{
    FleetMembers members(self);
    LiveDaemon leaving = makeDaemon("a");
    leaving.isLeaving = true;
    members.add("a", FleetMembers::encode(leaving));
    cr_assert(members.view().daemons[0].isLeaving);
    cr_assert_eq(members.view().daemons[0].peerAddress, "10.0.0.2:1");
    members.add("a", FleetMembers::encode(makeDaemon("a")));
    cr_assert(!members.view().daemons[0].isLeaving, "it has restarted");
}

// Guards against reassigning all connections because the keys of live daemons expired during an outage of the store.
Test(FleetMembers, lapsedMemberCountsForAGracePeriod)
{
    FleetMembers members(self);
    members.add("a", FleetMembers::encode(makeDaemon("a")));
    members.lapseAllExcept({}, start);
    cr_assert(!members.removeLapsed(start + Milliseconds(3900)));
    cr_assert_eq(members.view().daemons.size(), 2U);
    members.add("a", FleetMembers::encode(makeDaemon("a")));
    cr_assert(!members.removeLapsed(start + Milliseconds(9000)));
    members.lapse("a", start + Milliseconds(9000));
    cr_assert(members.removeLapsed(start + Milliseconds(13000)));
    cr_assert_eq(members.view().daemons.size(), 1U);
}

// Guards against accepting malformed entries.
Test(FleetMembers, rejectsMalformedEntries)
{
    FleetMembers members(self);
    cr_assert(!members.add("a", "nonsense"));
    cr_assert(!members.add("", "d 1"));
    cr_assert_eq(members.view().daemons.size(), 1U);
}

// Guards against daemons of the former version and of this one that do not see each other: the text of an ordinary
// entry is the same for both, and a percent sign that the former version wrote stands for itself.
Test(FleetMembers, entriesOfTheFormerVersionAreRead)
{
    const LiveDaemon daemon { VmId("a"), FailureDomainId("khomas-a"), "10.0.0.2:1", false, 25 };
    cr_assert_eq(FleetMembers::encode(daemon), "khomas-a 10.0.0.2:1 25");
    FleetMembers members(self);
    cr_assert(members.add("a", "50% 10.0.0.2:1 25"));
    cr_assert_eq(members.view().daemons.front().failureDomain.text(), "50%");
}

// Guards against a daemon that its peers do not see, or see in another zone, because the name of its zone has blanks.
Test(FleetMembers, entryKeepsAnyZone)
{
    for (const std::string zone :
        { "d2", "rack 1", " ", "a\r\nb", "50%", "%20", "a%", "\xc3\xa4\xff", "10.0.0.9:1 4 leaving" }) {
        FleetMembers members(self);
        LiveDaemon daemon { VmId("a"), FailureDomainId(zone), "10.0.0.2:1", false, 25 };
        cr_assert(members.add("a", FleetMembers::encode(daemon)), "%s", zone.c_str());
        const LiveDaemon seen = members.view().daemons.front();
        cr_assert_eq(seen.failureDomain.text(), zone);
        cr_assert_eq(seen.peerAddress, "10.0.0.2:1");
        cr_assert_eq(seen.capacity, 25U);
        cr_assert(!seen.isLeaving);
    }
}

#include "almondlever/capacity/OwnerReports.h"

#include <criterion/criterion.h>
#include <set>

using namespace almondlever;

namespace {

const GroupId ledger("ledger");

/** Reports one customer of each group, and keeps what it receives. */
class RecordingParticipant final : public GroupReportParticipant {
public:
    void fillReport(GroupReport& report, TimePoint) override
    {
        report.customers.assign(customers, { CustomerId("mill"), Milliseconds(report.period.count() / 10) });
    }
    void onReport(const VmId& from, const GroupReport& report, TimePoint) override
    {
        received.emplace_back(from, report);
    }
    std::size_t customers = 1;
    std::vector<std::pair<VmId, GroupReport>> received;
};

std::map<GroupId, std::vector<LiveDaemon>> makeOwners(std::size_t owners, std::size_t groups = 1)
{
    std::map<GroupId, std::vector<LiveDaemon>> owned;
    for (std::size_t group = 0; group < groups; ++group) {
        const GroupId id = group == 0 ? ledger : GroupId("group-" + std::to_string(group));
        for (std::size_t owner = 0; owner < owners; ++owner) {
            LiveDaemon daemon;
            daemon.id = VmId("vm-" + std::to_string(owner == 0 ? 0 : owner + group * owners));
            daemon.peerAddress = "10.0.0.1:1";
            owned[id].push_back(daemon);
        }
    }
    return owned;
}

GroupReport makeReport(std::uint64_t number)
{
    GroupReport report;
    report.group = ledger;
    report.number = number;
    return report;
}

const TimePoint start(std::chrono::hours(1));

} // namespace

// Guards against sending anything where no part of the daemon reports.
Test(OwnerReports, nothingIsSentWithoutAParticipant)
{
    OwnerReports reports(VmId("vm-0"));
    reports.setOwners(makeOwners(9));
    cr_assert(reports.takeDue(start).empty());
    cr_assert(reports.reportsFor(VmId("vm-1"), start).empty());
}

// Guards against a peer that is sent its reports twice, by an answer and by a probe, or never.
Test(OwnerReports, eachOwnerIsSentOneReportAnInterval)
{
    OwnerReports reports(VmId("vm-0"));
    RecordingParticipant participant;
    reports.addParticipant(participant);
    reports.setOwners(makeOwners(9));
    cr_assert_eq(reports.reportsFor(VmId("vm-1"), start).size(), 1U);
    cr_assert_eq(reports.takeDue(start).size(), 7U);
    cr_assert(reports.takeDue(start + Milliseconds(1000)).empty());
    cr_assert_eq(reports.takeDue(start + Milliseconds(2000)).size(), 8U);
    cr_assert(reports.reportsFor(VmId("stranger"), start).empty());
}

// 14 groups of nine owners and 40 customers, more than the budget allows. Guards against exceeding 1 KB/s, and against
// owners that are never reached.
Test(OwnerReports, manyGroupsStayWithinTheBudget)
{
    OwnerReports reports(VmId("vm-0"));
    RecordingParticipant participant;
    participant.customers = 40;
    reports.addParticipant(participant);
    reports.setOwners(makeOwners(9, 14));
    std::size_t bytes = 0;
    std::set<VmId> reached;
    constexpr int secondsSimulated = 120;
    for (int tick = 0; tick < secondsSimulated * 40; ++tick) {
        for (const OutgoingReports& outgoing : reports.takeDue(start + tick * Milliseconds(25))) {
            reached.insert(outgoing.to);
            for (const GroupReport& report : outgoing.reports)
                bytes += encodedSize(report);
        }
    }
    cr_assert_leq(bytes / secondsSimulated, 1000U);
    cr_assert_eq(reached.size(), 112U);
}

// Guards against an old report that arrives late and replaces a newer one, and against ignoring a restarted daemon,
// which numbers its reports anew.
Test(OwnerReports, lateReportsAreIgnoredAndRestartedDaemonsHeard)
{
    OwnerReports reports(VmId("vm-0"));
    RecordingParticipant participant;
    reports.addParticipant(participant);
    reports.setOwners(makeOwners(3));
    const VmId peer("vm-1");
    reports.onReports(peer, { makeReport(7) }, start);
    reports.onReports(peer, { makeReport(6) }, start);
    reports.onReports(peer, { makeReport(7) }, start);
    cr_assert_eq(participant.received.size(), 1U);
    // Number 8 was lost; the sums of number 9 make it needless.
    reports.onReports(peer, { makeReport(9) }, start);
    cr_assert_eq(participant.received.size(), 2U);
    reports.onLoss(peer);
    reports.onReports(peer, { makeReport(1) }, start);
    cr_assert_eq(participant.received.size(), 3U);
    reports.onReports(VmId("stranger"), { makeReport(1) }, start);
    cr_assert_eq(participant.received.size(), 3U, "only owners of the group are heard");
}

#include "almondlever/front/PeerStepDownRelay.h"
#include "mocks/DispatcherFixture.h"
#include "mocks/FakePeerNetwork.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

constexpr Term term = 7;

struct Fixture : DispatcherFixture {
    FakePeerNetwork network;
    PeerStepDownRelay relay { dispatcher, VmId("vm-1"), 77 };
    std::vector<StepDownReport> reports;

    Fixture()
    {
        relay.setNetwork(&network);
        relay.setOwners({ { group,
            { { VmId("vm-1"), FailureDomainId("x"), "", false }, { VmId("vm-2"), FailureDomainId("y"), "", false },
                { VmId("vm-3"), FailureDomainId("z"), "", false } } } });
    }

    void request()
    {
        relay.request(
            group, a, term, [this](const StepDownReport& report, TimePoint) { reports.push_back(report); },
            timers.now());
    }

    PrimarySuspicionAnswer answerTo(std::size_t index, const std::optional<StepDownReport>& report)
    {
        PrimarySuspicionAnswer answer;
        answer.number = std::get<PrimarySuspicion>(network.sent.at(index).second).number;
        answer.stepDown = report;
        return answer;
    }

    /** The answer of this daemon to the order that another owner relays. */
    PrimarySuspicionAnswer carryOut(Duration wait)
    {
        network.sent.clear();
        relay.onQuery(VmId("vm-2"), { 9, group, a, Milliseconds(0), term }, timers.now());
        advance(wait);
        cr_assert_eq(network.sent.size(), 1U);
        cr_assert(network.sent[0].first == VmId("vm-2"));
        const auto answer = std::get<PrimarySuspicionAnswer>(network.sent[0].second);
        cr_assert_eq(answer.number, 9U);
        cr_assert(answer.stepDown.has_value());
        return answer;
    }
};

} // namespace

// Guards against waiting for owners that do not reach a primary while another one has made it step down.
Test(PeerStepDownRelay, firstAnswerOfThePrimaryCounts)
{
    Fixture fixture;
    cr_assert(fixture.relay.hasPeers(fixture.group));
    fixture.request();
    cr_assert_eq(fixture.network.sent.size(), 2U);
    cr_assert_eq(std::get<PrimarySuspicion>(fixture.network.sent[0].second).stepDownTerm, term);
    cr_assert(fixture.relay.onAnswer(VmId("vm-2"), fixture.answerTo(0, StepDownReport()), fixture.timers.now()));
    cr_assert(fixture.reports.empty(), "another owner may reach it");
    const StepDownReport answered { StepDownResult::Answered, { false, 7, { 6, 120 } } };
    cr_assert(fixture.relay.onAnswer(VmId("vm-3"), fixture.answerTo(0, answered), fixture.timers.now()));
    cr_assert_eq(fixture.reports.size(), 1U);
    cr_assert(fixture.reports[0].result == StepDownResult::Answered);
    cr_assert(fixture.reports[0].status.received == LogPosition({ 6, 120 }));
}

// Guards against a change that waits for its time-out although no owner reaches the primary, and against taking the
// answer of a daemon of the former version, which ignores the order, for that of a primary that has stepped down.
Test(PeerStepDownRelay, reportsThatNoOwnerReachesThePrimary)
{
    Fixture fixture;
    fixture.request();
    cr_assert(fixture.relay.onAnswer(VmId("vm-2"), fixture.answerTo(0, std::nullopt), fixture.timers.now()));
    cr_assert(fixture.relay.onAnswer(VmId("vm-3"), fixture.answerTo(0, StepDownReport()), fixture.timers.now()));
    cr_assert_eq(fixture.reports.size(), 1U);
    cr_assert(fixture.reports[0].result == StepDownResult::Unreachable);
    cr_assert(fixture.relay.onAnswer(VmId("vm-3"), fixture.answerTo(0, StepDownReport()), fixture.timers.now()),
        "a late answer must not count as an opinion on a suspicion");
    cr_assert_eq(fixture.reports.size(), 1U);
    PrimarySuspicionAnswer opinion;
    opinion.number = 1;
    cr_assert(!fixture.relay.onAnswer(VmId("vm-3"), opinion, fixture.timers.now()));
}

// Guards against pausing the replicas of a primary that has not stepped down as if it had.
Test(PeerStepDownRelay, reportsAPrimaryThatDoesNotKnowTheOrder)
{
    Fixture fixture;
    fixture.request();
    fixture.relay.onAnswer(
        VmId("vm-2"), fixture.answerTo(0, StepDownReport { StepDownResult::NotSupported, {} }), fixture.timers.now());
    fixture.relay.onAnswer(VmId("vm-3"), fixture.answerTo(0, StepDownReport()), fixture.timers.now());
    cr_assert_eq(fixture.reports.size(), 1U);
    cr_assert(fixture.reports[0].result == StepDownResult::NotSupported);
}

// Guards against a request without a report while no other owner can be asked.
Test(PeerStepDownRelay, reportsAtOnceWithoutPeers)
{
    Fixture fixture;
    fixture.relay.setOwners({});
    cr_assert(!fixture.relay.hasPeers(fixture.group));
    fixture.request();
    cr_assert_eq(fixture.reports.size(), 1U);
    cr_assert(fixture.reports[0].result == StepDownResult::Unreachable);
}

// Guards against a primary that acknowledges further commits after the answer, and against new statements for it.
Test(PeerStepDownRelay, carriesOutTheOrderOfAnotherOwner)
{
    Fixture fixture;
    const PrimarySuspicionAnswer answer = fixture.carryOut(Milliseconds(100));
    cr_assert(answer.stepDown->result == StepDownResult::Answered);
    cr_assert(!answer.stepDown->status.isPrimary);
    cr_assert(answer.stepDown->status.received == fixture.endpoints.server(fixture.a).position);
    cr_assert(!fixture.endpoints.server(fixture.a).leads);
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(200));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
}

// Guards against a decider that waits until the connection attempts to a crashed primary time out.
Test(PeerStepDownRelay, answersAtOnceWhenThePrimaryIsNotReachable)
{
    Fixture fixture;
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(100));
    cr_assert(fixture.carryOut(Duration(0)).stepDown->result == StepDownResult::Unreachable);
}

// Guards against taking the answer to another order, of this daemon's former run, for the answer to an order of this
// run: the primary would be believed to have stepped down with another log.
Test(PeerStepDownRelay, answerToAnOrderOfTheFormerRunIsIgnored)
{
    Fixture former;
    former.request();
    Fixture current;
    PeerStepDownRelay relay { current.dispatcher, VmId("vm-1"), ~std::uint64_t { 0 } - 5 };
    relay.setNetwork(&current.network);
    relay.setOwners({ { current.group, { { VmId("vm-2"), FailureDomainId("y"), "", false } } } });
    relay.request(
        current.group, current.a, term,
        [&current](const StepDownReport& report, TimePoint) { current.reports.push_back(report); },
        current.timers.now());
    const StepDownReport answered { StepDownResult::Answered, { false, 7, { 6, 120 } } };
    cr_assert(relay.onAnswer(VmId("vm-2"), former.answerTo(0, answered), current.timers.now()),
        "the answer is not one to a question about a suspicion either");
    cr_assert(current.reports.empty());
    cr_assert(relay.onAnswer(VmId("vm-2"), current.answerTo(0, answered), current.timers.now()));
    cr_assert_eq(current.reports.size(), 1U);
}

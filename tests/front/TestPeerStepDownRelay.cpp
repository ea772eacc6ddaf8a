#include "almondlever/front/PeerStepDownRelay.h"
#include "mocks/DispatcherFixture.h"
#include "mocks/FakePeerNetwork.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace almondlever;

namespace {

constexpr Term term = 7;
constexpr std::uint64_t fence = 41;

struct Fixture : DispatcherFixture {
    FakePeerNetwork network;
    PeerStepDownRelay relay { dispatcher, VmId("vm-1"), 77 };
    std::vector<StepDownReport> reports;
    std::vector<std::pair<std::uint64_t, bool>> holds;

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
            group, a, term, 0, [this](const StepDownReport& report, TimePoint) { reports.push_back(report); },
            timers.now());
    }

    /** A request under which the other daemons hold the writes. */
    void requestHold(std::uint64_t fence)
    {
        relay.request(
            group, a, term, fence, [this](const StepDownReport& report, TimePoint) { reports.push_back(report); },
            timers.now());
    }

    /** Daemons numbered from 1, this one included; the first three own the group. */
    void setMembers(std::size_t count)
    {
        std::vector<LiveDaemon> members;
        for (std::size_t number = 1; number <= count; ++number)
            members.push_back({ VmId("vm-" + std::to_string(number)), FailureDomainId("x"), "", number == 4 });
        relay.setMembers(std::move(members));
    }

    /** The hold that other daemons ask for takes effect, as the driver of changes has it. */
    void followHolds()
    {
        relay.setHoldCallback([this](const GroupId& held, std::uint64_t fence, bool isHeld, TimePoint now) {
            holds.emplace_back(fence, isHeld);
            dispatcher.holdWrites(held, isHeld, now);
        });
    }

    void tick(Duration by)
    {
        const TimePoint end = timers.now() + by;
        while (timers.now() < end) {
            advance(StatementDispatcher::tickInterval);
            relay.onTick(timers.now());
        }
    }

    const PrimarySuspicion& sentTo(const VmId& id) const
    {
        const auto found = std::find_if(
            network.sent.rbegin(), network.sent.rend(), [&id](const auto& message) { return message.first == id; });
        cr_assert(found != network.sent.rend());
        return std::get<PrimarySuspicion>(found->second);
    }

    void answerAs(const VmId& id, bool isHolding, const std::optional<StepDownReport>& report)
    {
        PrimarySuspicionAnswer answer;
        answer.number = sentTo(id).number;
        answer.isHolding = isHolding;
        answer.stepDown = report;
        cr_assert(relay.onAnswer(id, answer, timers.now()));
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
        current.group, current.a, term, 0,
        [&current](const StepDownReport& report, TimePoint) { current.reports.push_back(report); },
        current.timers.now());
    const StepDownReport answered { StepDownResult::Answered, { false, 7, { 6, 120 } } };
    cr_assert(relay.onAnswer(VmId("vm-2"), former.answerTo(0, answered), current.timers.now()),
        "the answer is not one to a question about a suspicion either");
    cr_assert(current.reports.empty());
    cr_assert(relay.onAnswer(VmId("vm-2"), current.answerTo(0, answered), current.timers.now()));
    cr_assert_eq(current.reports.size(), 1U);
}

// Guards against a call to a server while a daemon that is not an owner, or leaves, still acknowledges writes of the
// old primary, and against counting a daemon of the former version, which holds nothing after a moment.
Test(PeerStepDownRelay, allDaemonsHold)
{
    Fixture fixture;
    fixture.setMembers(5);
    fixture.requestHold(fence);
    cr_assert_eq(fixture.network.sent.size(), 4U);
    for (const char* id : { "vm-2", "vm-3", "vm-4" }) {
        cr_assert_eq(fixture.sentTo(VmId(id)).fence, fence);
        fixture.answerAs(VmId(id), true, StepDownReport());
    }
    cr_assert(!fixture.relay.areAllHolding(fixture.group, fence));
    fixture.answerAs(VmId("vm-5"), false, StepDownReport());
    cr_assert(!fixture.relay.areAllHolding(fixture.group, fence));
    cr_assert_eq(fixture.reports.size(), 1U);
    // It was replaced by the present version and is asked under the same fence again.
    fixture.requestHold(fence);
    fixture.answerAs(VmId("vm-5"), true, StepDownReport());
    cr_assert(fixture.relay.areAllHolding(fixture.group, fence));
    cr_assert(!fixture.relay.areAllHolding(fixture.group, fence + 1));
    fixture.setMembers(6);
    cr_assert(!fixture.relay.areAllHolding(fixture.group, fence), "a daemon has joined");
    fixture.tick(Milliseconds(600));
    fixture.answerAs(VmId("vm-6"), true, StepDownReport());
    cr_assert(fixture.relay.areAllHolding(fixture.group, fence));
    fixture.requestHold(fence + 1);
    cr_assert(!fixture.relay.areAllHolding(fixture.group, fence + 1), "answers belong to their fence");
}

// Guards against taking a daemon that waits for the primary's answer for one that does not hold, and its first answer
// for one that it does not reach the primary.
Test(PeerStepDownRelay, holdIsKnownBeforeTheAnswerOfThePrimary)
{
    Fixture fixture;
    fixture.setMembers(2);
    fixture.relay.setOwners({});
    fixture.requestHold(fence);
    fixture.answerAs(VmId("vm-2"), true, std::nullopt);
    cr_assert(fixture.relay.areAllHolding(fixture.group, fence));
    cr_assert(fixture.reports.empty());
    fixture.answerAs(VmId("vm-2"), true, StepDownReport { StepDownResult::Answered, { false, 7, { 6, 120 } } });
    cr_assert_eq(fixture.reports.size(), 1U);
    cr_assert(fixture.reports[0].result == StepDownResult::Answered);
}

// Guards against a decider that waits for hundreds of daemons without connections to the primary.
Test(PeerStepDownRelay, ownersAnswersSufficeAfterAMoment)
{
    Fixture fixture;
    fixture.setMembers(6);
    fixture.requestHold(fence);
    fixture.answerAs(VmId("vm-2"), true, StepDownReport());
    fixture.tick(Milliseconds(225));
    cr_assert(fixture.reports.empty(), "an owner may reach the primary");
    fixture.answerAs(VmId("vm-3"), true, StepDownReport());
    cr_assert_eq(fixture.reports.size(), 1U);
    cr_assert(fixture.reports[0].result == StepDownResult::Unreachable);
}

// Guards against opening hundreds of channels at the same moment, and against daemons that are never asked.
Test(PeerStepDownRelay, largeFleetIsAskedOverSeveralTicks)
{
    Fixture fixture;
    fixture.setMembers(300);
    fixture.requestHold(fence);
    cr_assert_leq(fixture.network.sent.size(), 64U);
    cr_assert(fixture.network.sent[0].first == VmId("vm-2") || fixture.network.sent[0].first == VmId("vm-3"));
    fixture.tick(Milliseconds(125));
    cr_assert_eq(fixture.network.sent.size(), 299U);
    std::set<VmId> asked;
    for (const auto& [id, message] : fixture.network.sent) {
        asked.insert(id);
        cr_assert_leq(encodeMessage(message).size(), 100U);
    }
    cr_assert_eq(asked.size(), 299U);
    for (const VmId& id : asked)
        fixture.answerAs(id, true, StepDownReport());
    cr_assert(fixture.relay.areAllHolding(fixture.group, fence));
}

// Guards against a daemon that never learns of the hold, or of its end, because a message was lost, and against
// messages without end to a daemon that does not answer.
Test(PeerStepDownRelay, unansweredMessagesAreRepeated)
{
    Fixture fixture;
    fixture.setMembers(3);
    fixture.requestHold(fence);
    fixture.answerAs(VmId("vm-2"), true, StepDownReport());
    fixture.network.sent.clear();
    fixture.tick(Milliseconds(300));
    cr_assert_eq(fixture.network.sent.size(), 1U);
    fixture.answerAs(VmId("vm-3"), true, StepDownReport());
    fixture.network.sent.clear();
    fixture.relay.close(fixture.group, fence, fixture.a, 8, fixture.timers.now());
    cr_assert_eq(fixture.network.sent.size(), 2U);
    cr_assert(!fixture.relay.areAllHolding(fixture.group, fence));
    cr_assert(fixture.sentTo(VmId("vm-2")).isClosed);
    cr_assert(fixture.sentTo(VmId("vm-2")).primary == fixture.a);
    cr_assert_eq(fixture.sentTo(VmId("vm-2")).leadingTerm, 8U);
    cr_assert_eq(fixture.sentTo(VmId("vm-2")).stepDownTerm, 0U, "the former version would order a step-down");
    fixture.answerAs(VmId("vm-2"), false, std::nullopt);
    fixture.network.sent.clear();
    fixture.tick(Milliseconds(600));
    cr_assert_eq(fixture.network.sent.size(), 2U);
    cr_assert(fixture.network.sent[0].first == VmId("vm-3"));
    fixture.tick(Milliseconds(10000));
    fixture.network.sent.clear();
    fixture.tick(Milliseconds(2000));
    cr_assert(fixture.network.sent.empty());
}

// Guards against a daemon that writes to the old primary although it has answered that it holds the writes, against a
// connection that each of hundreds of daemons opens to a failed primary, and against an order that outlives its change.
Test(PeerStepDownRelay, daemonWithoutConnectionHoldsAndAnswersAtOnce)
{
    Fixture fixture;
    fixture.followHolds();
    fixture.relay.setOwners({});
    fixture.dispatcher.setSharing({ { fixture.group, 0 } }, fixture.timers.now());
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(100));
    const std::size_t connection = fixture.endpoints.lastConnection();
    PrimarySuspicion query { 9, fixture.group, fixture.a, Milliseconds(0), term };
    query.fence = fence;
    fixture.network.sent.clear();
    fixture.relay.onQuery(VmId("vm-2"), query, fixture.timers.now());
    cr_assert_eq(fixture.network.sent.size(), 1U);
    const auto answer = std::get<PrimarySuspicionAnswer>(fixture.network.sent[0].second);
    cr_assert(answer.isHolding);
    cr_assert(answer.stepDown && answer.stepDown->result == StepDownResult::Unreachable);
    fixture.advance(Milliseconds(3000));
    cr_assert(fixture.dispatcher.areWritesHeld(fixture.group), "no timer ends the hold");
    cr_assert_eq(fixture.endpoints.lastConnection(), connection);
    PrimarySuspicion closing { 10, fixture.group, fixture.a };
    closing.fence = fence;
    closing.isClosed = true;
    fixture.relay.onQuery(VmId("vm-2"), closing, fixture.timers.now());
    cr_assert(!fixture.dispatcher.areWritesHeld(fixture.group));
    fixture.network.sent.clear();
    fixture.relay.onQuery(VmId("vm-2"), query, fixture.timers.now());
    cr_assert(!fixture.dispatcher.areWritesHeld(fixture.group));
    cr_assert(!std::get<PrimarySuspicionAnswer>(fixture.network.sent[0].second).isHolding);
    cr_assert_eq(fixture.holds.size(), 2U);
}

// Guards against a primary that is ordered to step down once for each repetition of the message, and against a decider
// that waits for the primary's answer to learn of the hold.
Test(PeerStepDownRelay, repeatedOrderIsCarriedOutOnce)
{
    Fixture fixture;
    fixture.followHolds();
    PrimarySuspicion query { 9, fixture.group, fixture.a, Milliseconds(0), term };
    query.fence = fence;
    fixture.relay.onQuery(VmId("vm-2"), query, fixture.timers.now());
    cr_assert_eq(fixture.network.sent.size(), 1U);
    cr_assert(std::get<PrimarySuspicionAnswer>(fixture.network.sent[0].second).isHolding);
    cr_assert(!std::get<PrimarySuspicionAnswer>(fixture.network.sent[0].second).stepDown);
    fixture.advance(Milliseconds(100));
    cr_assert_eq(fixture.network.sent.size(), 2U);
    cr_assert(!fixture.endpoints.server(fixture.a).leads);
    fixture.endpoints.server(fixture.a).leads = true;
    fixture.relay.onQuery(VmId("vm-2"), query, fixture.timers.now());
    fixture.advance(Milliseconds(100));
    cr_assert_eq(fixture.network.sent.size(), 3U);
    const auto answer = std::get<PrimarySuspicionAnswer>(fixture.network.sent[2].second);
    cr_assert(answer.isHolding);
    cr_assert(answer.stepDown && answer.stepDown->result == StepDownResult::Answered);
    cr_assert(fixture.endpoints.server(fixture.a).leads, "the order was not sent again");
}

// Guards against a promise to hold that nothing keeps.
Test(PeerStepDownRelay, daemonThatDoesNotHoldDoesNotSaySo)
{
    Fixture fixture;
    PrimarySuspicion query { 9, fixture.group, fixture.a, Milliseconds(0), term };
    query.fence = fence;
    fixture.relay.onQuery(VmId("vm-2"), query, fixture.timers.now());
    fixture.advance(Milliseconds(100));
    for (const auto& [id, message] : fixture.network.sent)
        cr_assert(!std::get<PrimarySuspicionAnswer>(message).isHolding);
}

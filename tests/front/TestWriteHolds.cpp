#include "almondlever/front/WriteHolds.h"
#include "almondlever/store/PromotionClaim.h"
#include "mocks/PromotionFixture.h"

using namespace almondlever;

namespace {

constexpr Milliseconds normalPeriod { 4000 };
constexpr Milliseconds callLimit { 5000 };
/** Longest time to a primary after a call that the platform accepted, with the resumption of the replicas. */
constexpr Milliseconds changeLimit { 6000 };

/** Other daemons, none of which reaches the primary. */
class HoldingRelay final : public StepDownRelay {
public:
    explicit HoldingRelay(PromotionFixture& fixture)
        : fixture_(fixture)
    {
        fixture.setRelay(this);
    }

    bool hasPeers(const GroupId&) const override { return true; }
    void request(const GroupId&, const EndpointId&, Term, std::uint64_t fence, Callback callback, TimePoint) override
    {
        fences.push_back(fence);
        fixture_.timers.callAfter(Milliseconds(20), [callback](TimePoint now) {
            callback({ StepDownResult::Unreachable, {} }, now);
        });
    }
    bool areAllHolding(const GroupId&, std::uint64_t fence) const override
    {
        return areHolding && std::count(fences.begin(), fences.end(), fence) > 0;
    }
    LogPosition acknowledgedPosition(const GroupId&, std::uint64_t) const override { return acknowledged; }
    void close(const GroupId&, std::uint64_t fence, const EndpointId& leader, Term term, TimePoint) override
    {
        closedFence = fence;
        closedLeader = leader;
        closedTerm = term;
    }

    bool areHolding = true;
    LogPosition acknowledged;
    std::vector<std::uint64_t> fences;
    std::uint64_t closedFence = 0;
    EndpointId closedLeader;
    Term closedTerm = 0;

private:
    PromotionFixture& fixture_;
};

/** Fixture of the store's news alone. */
struct HoldFixture : PromotionFixture {
    void noteClaim(const std::string& value, std::uint64_t revision)
    {
        driver().onClaim(group, true, now(), PromotionClaim::writesUnder(value), revision);
    }
    void noteClaimEnded() { driver().onClaim(group, false, now()); }
    void noteRecord(bool isOpen, std::uint64_t revision) { driver().onChangeRecord(group, isOpen, now(), revision); }
    /** Ends one answer of the store. */
    bool isHeld()
    {
        driver().onKeysReported(now());
        return areWritesHeld();
    }
    TimePoint now() { return timers.now(); }
};

} // namespace

// Guards against a commit that a caller hears of through a daemon which does not know of the change yet.
Test(WriteHolds, callByCountWaitsUntilEachDaemonHolds)
{
    PromotionFixture fixture;
    HoldingRelay relay(fixture);
    relay.areHolding = false;
    fixture.run(normalPeriod);
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] { return !relay.fences.empty(); }));
    fixture.run(Milliseconds(350));
    cr_assert(fixture.promotions.calls.empty());
    cr_assert(fixture.areWritesHeld());
    relay.areHolding = true;
    fixture.run(Milliseconds(75));
    cr_assert_eq(fixture.promotions.calls.size(), 1U);
}

// Guards against promoting a log that was compared too early: a daemon that does not hold writes yet passes on a commit
// which a replica received after a restart had ended its pause.
Test(WriteHolds, logsAreComparedOnceEachDaemonHolds)
{
    PromotionFixture fixture;
    HoldingRelay relay(fixture);
    relay.areHolding = false;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] { return !relay.fences.empty(); }));
    fixture.run(Milliseconds(150));
    cr_assert_neq(fixture.endpoints.server(fixture.c).pausedIn, 0U);
    fixture.acknowledge({ 1, 130 }, { fixture.c });
    relay.areHolding = true;
    cr_assert(fixture.runUntil(Milliseconds(500), [&] { return !fixture.promotions.calls.empty(); }));
    cr_expect(fixture.promotions.calls[0].endpoint == fixture.c);
}

// Guards against a group that stays without a primary because a daemon has died and is still listed.
Test(WriteHolds, callByCountDoesNotWaitForADeadDaemon)
{
    PromotionFixture fixture;
    HoldingRelay relay(fixture);
    relay.areHolding = false;
    fixture.run(normalPeriod);
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] { return !relay.fences.empty(); }));
    fixture.run(PromotionDriverSettings().holdTimeout + Milliseconds(75));
    cr_assert_eq(fixture.promotions.calls.size(), 1U);
}

// Guards against promoting a log that lacks a commit which another daemon's caller has heard of: the only other copy is
// at an endpoint that no daemon has listed yet.
Test(WriteHolds, logWithoutACommitOfAnotherDaemonIsNotPromoted)
{
    PromotionFixture fixture;
    HoldingRelay relay(fixture);
    fixture.run(normalPeriod);
    relay.acknowledged = { 1, 100000 };
    fixture.acknowledge(relay.acknowledged, { fixture.a });
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] { return relay.closedFence != 0; }));
    cr_expect(fixture.promotions.calls.empty());
    cr_expect_eq(relay.closedTerm, 0U);
    fixture.bringBack(fixture.a);
    cr_expect(fixture.runUntil(changeLimit, [&] { return fixture.write(); }), "the primary serves again");
}

// Guards against writes that are sent to the old primary when the hold ends, and against a hold that lasts until each
// replica has been resumed.
Test(WriteHolds, endNamesTheLeaderOnceItLeads)
{
    PromotionFixture fixture;
    HoldingRelay relay(fixture);
    fixture.run(normalPeriod);
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] { return !fixture.promotions.calls.empty(); }));
    const auto call = fixture.promotions.calls[0];
    cr_assert(fixture.areWritesHeld());
    cr_assert_eq(relay.closedFence, 0U);
    cr_assert(fixture.runUntil(changeLimit, [&] { return relay.closedFence != 0; }));
    cr_expect_eq(relay.closedFence, call.fence);
    cr_expect(relay.closedLeader == call.endpoint);
    cr_expect_eq(relay.closedTerm, 2U);
    cr_expect(fixture.leads(call.endpoint));
    cr_expect(!fixture.areWritesHeld());
    cr_expect(fixture.write());
}

// Guards against acknowledgements while a call that got no answer may still be carried out: the hold outlasts the
// change, and ends with the recovery.
Test(WriteHolds, holdLastsUntilAnUnansweredCallIsVoid)
{
    PromotionFixture fixture;
    HoldingRelay relay(fixture);
    fixture.promotions.unansweredCalls = 1;
    fixture.promotions.lateBy = Milliseconds(3000);
    bool areMembersReadable = true;
    fixture.driver().setMembersRefresh([&](const std::function<void(bool)>& callback) {
        fixture.timers.callAfter(
            Milliseconds(5), [&areMembersReadable, callback](TimePoint) { callback(areMembersReadable); });
    });
    fixture.run(normalPeriod);
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] { return !fixture.promotions.calls.empty(); }));
    const std::uint64_t fence = fixture.promotions.calls[0].fence;
    areMembersReadable = false;
    cr_assert(fixture.runUntil(callLimit, [&] { return fixture.driver().isIdle(); }));
    areMembersReadable = true;
    cr_expect_eq(relay.closedFence, 0U);
    cr_expect(fixture.areWritesHeld());
    cr_assert(fixture.runUntil(changeLimit, [&] {
        cr_assert(relay.closedFence != 0 || fixture.areWritesHeld());
        return relay.closedFence != 0;
    }));
    cr_expect_gt(relay.closedFence, fence);
    cr_expect(fixture.write());
}

// Guards against a gap in writes during a hand-over: the primary serves until it has confirmed that it stepped down.
Test(WriteHolds, plannedChangeHoldsNoWrites)
{
    PromotionFixture fixture;
    HoldingRelay relay(fixture);
    fixture.run(normalPeriod);
    fixture.announceExit(fixture.a);
    cr_assert(fixture.runUntil(changeLimit, [&] {
        cr_assert(!fixture.areWritesHeld());
        return fixture.leads(fixture.b) || fixture.leads(fixture.c);
    }));
    for (const std::uint64_t fence : relay.fences)
        cr_expect_eq(fence, 0U);
}

// Guards against a daemon that the deciding one does not reach, and that writes to the old primary during the change.
Test(WriteHolds, claimInTheStoreHoldsWrites)
{
    HoldFixture fixture;
    fixture.noteRecord(false, 3);
    cr_expect(!fixture.isHeld());
    fixture.noteClaim("vm-2 7 hold", 5);
    fixture.noteRecord(true, 5);
    cr_expect(fixture.isHeld());
    fixture.noteClaimEnded();
    cr_expect(fixture.isHeld(), "the deciding daemon is gone, and its call may still be carried out");
    fixture.noteClaim("vm-3 1 hold", 9);
    fixture.noteRecord(true, 9);
    cr_expect(fixture.isHeld());
    fixture.noteClaimEnded();
    fixture.noteRecord(false, 12);
    cr_expect(!fixture.isHeld());
}

// Guards against a gap in writes during a hand-over by a daemon of the former version, whose claims have no mark, and
// against acknowledgements after its death.
Test(WriteHolds, claimOfTheFormerVersionHoldsWritesOnceItEnds)
{
    HoldFixture fixture;
    fixture.noteClaim("vm-2 7", 5);
    fixture.noteRecord(true, 5);
    cr_expect(!fixture.isHeld());
    fixture.noteClaimEnded();
    cr_expect(fixture.isHeld());
    fixture.noteRecord(false, 8);
    cr_expect(!fixture.isHeld());
}

// Guards against a gap in writes after the deciding daemon has died in a hand-over: no call was made before the primary
// stepped down.
Test(WriteHolds, endOfAServingClaimHoldsNoWrites)
{
    HoldFixture fixture;
    fixture.noteClaim("vm-2 7 serve", 5);
    fixture.noteRecord(true, 5);
    cr_expect(!fixture.isHeld());
    fixture.noteClaimEnded();
    cr_expect(!fixture.isHeld());
    fixture.noteRecord(true, 7);
    cr_expect(fixture.isHeld(), "this daemon has not seen the claim of that change");
}

// Guards against a hold that ends with the news of an earlier change, and against one that never ends because the
// record of its end had arrived before the request.
Test(WriteHolds, requestedHoldEndsWithTheRecordOfItsOwnChange)
{
    HoldFixture fixture;
    fixture.noteRecord(false, 3);
    fixture.driver().onHoldRequest(fixture.group, 5, true, fixture.now());
    cr_expect(fixture.isHeld());
    fixture.noteRecord(false, 4);
    cr_expect(fixture.isHeld(), "this is the end of the change before");
    fixture.noteRecord(true, 5);
    fixture.noteRecord(false, 8);
    cr_expect(!fixture.isHeld());
    fixture.driver().onHoldRequest(fixture.group, 5, true, fixture.now());
    cr_expect(!fixture.isHeld());
    fixture.driver().onHoldRequest(fixture.group, 9, true, fixture.now());
    cr_expect(fixture.isHeld());
    fixture.noteClaim("vm-2 8 hold", 9);
    fixture.noteRecord(true, 9);
    fixture.driver().onHoldRequest(fixture.group, 9, false, fixture.now());
    cr_expect(!fixture.isHeld(), "the deciding daemon said so, and the store's news follow");
}

// Guards against writes that are held back for ever: the store was restored from a copy without the record, and the
// deciding daemon is gone.
Test(WriteHolds, holdWithoutARecordIsRecovered)
{
    HoldFixture fixture;
    HoldingRelay relay(fixture);
    fixture.run(normalPeriod);
    fixture.driver().onHoldRequest(fixture.group, 1, true, fixture.now());
    cr_assert(fixture.isHeld());
    cr_expect(fixture.runUntil(Milliseconds(12000), [&] { return !relay.fences.empty(); }));
    cr_expect(fixture.runUntil(changeLimit, [&] { return relay.closedFence != 0; }));
}

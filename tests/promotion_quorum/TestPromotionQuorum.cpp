#include "mocks/PromotionFixture.h"

using namespace almondlever;

namespace {

/** Normal operation before a fault. */
constexpr Milliseconds normalPeriod { 4000 };
/** Time in which an endpoint must not be promoted; longer than a daemon remembers positions of former members. */
constexpr Milliseconds observationPeriod = 2 * DispatcherSettings().membershipSettleTime;
/** Time to a new primary once one can be chosen. */
constexpr Milliseconds promotionLimit { 5000 };

/** Another owner of the group, which reaches only the endpoint that a test names. */
class FakeRelay final : public StepDownRelay {
public:
    explicit FakeRelay(PromotionFixture& fixture)
        : fixture_(fixture)
    {
    }

    bool hasPeers(const GroupId&) const override { return true; }
    bool areAllHolding(const GroupId&, std::uint64_t) const override { return true; }
    LogPosition acknowledgedPosition(const GroupId&, std::uint64_t) const override { return {}; }
    void close(const GroupId&, std::uint64_t, const EndpointId&, Term, TimePoint) override { }
    void request(const GroupId&, const EndpointId& primary, Term, std::uint64_t, Callback callback, TimePoint) override
    {
        fixture_.timers.callAfter(Milliseconds(20), [this, primary, callback](TimePoint now) {
            if (primary != reachable)
                return callback({ StepDownResult::Unreachable, {} }, now);
            FakeEndpoints::Server& server = fixture_.endpoints.server(primary);
            server.leads = false;
            callback({ StepDownResult::Answered, { false, server.position.term, server.position } }, now);
        });
    }

    EndpointId reachable;

private:
    PromotionFixture& fixture_;
};

/** The primary a fails, b takes over, and c has received nothing since position 100. */
void replaceFirstPrimary(PromotionFixture& fixture)
{
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.crash(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b) && fixture.driver().isIdle(); }));
}

/** Only c is listed and answers; it must not be promoted before b is back. */
void expectOnlyTheCompleteLogIsPromoted(PromotionFixture& fixture)
{
    const std::size_t before = fixture.promotions.promoted.size();
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect_eq(fixture.promotions.promoted.size(), before, "c lacks acknowledged commits");
    fixture.bringBack(fixture.b);
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b); }));
    cr_expect(fixture.promotions.incomplete.empty());
}

} // namespace

// Guards against counting only listed endpoints: after the entry of the primary has lapsed, one replica that lacks
// acknowledged commits would suffice, although the replica that holds them is only out of reach.
Test(PromotionQuorum, lapsedPrimaryStillCounts)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.makeUnreachable(fixture.a);
    fixture.endpoints.server(fixture.b).isSilent = true;
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect(fixture.promotions.promoted.empty(), "c lacks acknowledged commits");
    fixture.endpoints.server(fixture.b).isSilent = false;
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b); }));
    cr_expect(fixture.promotions.incomplete.empty());
}

// Review case 6: guards against forgetting at a change of primary what was acknowledged in the former term, when the
// new primary crashes at once and both entries lapse.
Test(PromotionQuorum, formerTermStillCountsAfterASecondCrash)
{
    PromotionFixture fixture;
    replaceFirstPrimary(fixture);
    fixture.crash(fixture.b);
    expectOnlyTheCompleteLogIsPromoted(fixture);
}

// Guards against the same when the new primary crashes before the daemon has seen that it leads.
Test(PromotionQuorum, formerTermStillCountsAfterACrashAtTheTakeover)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.crash(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b); }));
    fixture.crash(fixture.b);
    expectOnlyTheCompleteLogIsPromoted(fixture);
}

// Review case 7: guards against a restarted daemon that takes the endpoints listed now for all that could hold an
// acknowledged commit.
Test(PromotionQuorum, restartedDaemonKnowsTheLogHolders)
{
    PromotionFixture fixture;
    replaceFirstPrimary(fixture);
    fixture.restartDaemon();
    fixture.run(Milliseconds(100));
    fixture.crash(fixture.b);
    expectOnlyTheCompleteLogIsPromoted(fixture);
}

// Guards against the same when the daemon restarts while it lists only the replica without the commits.
Test(PromotionQuorum, restartedDaemonKnowsTheLogHoldersThatAreNoLongerListed)
{
    PromotionFixture fixture;
    replaceFirstPrimary(fixture);
    fixture.crash(fixture.b);
    fixture.run(PromotionFixture::entryLifetime + Milliseconds(100));
    fixture.restartDaemon();
    expectOnlyTheCompleteLogIsPromoted(fixture);
}

// Guards against counting an endpoint that restarted without its log as the log that it had.
Test(PromotionQuorum, restartedEmptyEndpointIsAnotherHolder)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.restartEmpty(fixture.b);
    fixture.makeUnreachable(fixture.a);
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect(fixture.promotions.promoted.empty(), "c lacks acknowledged commits, and b holds nothing");
    fixture.bringBack(fixture.a);
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.a) && fixture.write(); }));
    cr_expect(fixture.promotions.incomplete.empty());
}

// Guards against the same, and against a group that stays without a primary when the crashed one returns as a replica.
Test(PromotionQuorum, restartedEmptyEndpointWaitsForTheCrashedPrimary)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.restartEmpty(fixture.b);
    fixture.crash(fixture.a);
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect(fixture.promotions.promoted.empty(), "c lacks acknowledged commits, and b holds nothing");
    fixture.bringBack(fixture.a);
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.a); }));
    cr_expect(fixture.promotions.incomplete.empty());
}

// Guards against counting an endpoint that joined empty, in place of one that is gone with the only other copy of a
// commit.
Test(PromotionQuorum, replacementThatHasNotCaughtUpIsNoFormerHolder)
{
    PromotionFixture fixture;
    const EndpointId d("d");
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.crash(fixture.b);
    fixture.run(PromotionFixture::removalTime);
    fixture.endpoints.server(d).position = {};
    fixture.endpoints.server(d).reportsPosition = false;
    fixture.list(d);
    fixture.run(observationPeriod);
    fixture.crash(fixture.a);
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect(fixture.promotions.promoted.empty(), "c lacks acknowledged commits, and d holds nothing");
    fixture.bringBack(fixture.a);
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.a); }));
    cr_expect(fixture.promotions.incomplete.empty());
}

// A former primary returns with an entry in its old role, and another owner reaches it. Guards against taking the end
// of its log for the end of all that was acknowledged, when the last primary and the replica that held its commits are
// out of reach. Four endpoints are the fewest with which this loses a commit: with three, the commit is in the log of
// the former primary or in that of the only other candidate.
Test(PromotionQuorum, formerPrimaryInItsOldRoleDoesNotEndTheLog)
{
    PromotionFixture fixture;
    const EndpointId d("d");
    fixture.list(d);
    FakeRelay relay(fixture);
    fixture.setRelay(&relay);
    fixture.run(normalPeriod);
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b) && fixture.driver().isIdle(); }));
    fixture.run(PromotionFixture::removalTime);
    fixture.acknowledge({ 2, 130 }, { fixture.b, d });
    fixture.makeUnreachable(fixture.b);
    fixture.makeUnreachable(d);
    fixture.listAs(fixture.a, true);
    relay.reachable = fixture.a;
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect_eq(fixture.promotions.promoted.size(), 1U, "c reaches the end of a's log, but lacks commits of b");
    cr_expect(fixture.promotions.incomplete.empty());
    fixture.endpoints.server(fixture.a).isSilent = false;
    fixture.bringBack(d);
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.leads(d); }));
}

// A former primary returns with an entry in its old role, and a change of another daemon is unfinished. Guards against
// promoting that endpoint as the present primary, to probe the platform and to make older calls void.
Test(PromotionQuorum, recoveryDoesNotPromoteAFormerPrimaryInItsOldRole)
{
    PromotionFixture fixture;
    FakeRelay relay(fixture);
    fixture.setRelay(&relay);
    fixture.run(normalPeriod);
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b) && fixture.driver().isIdle(); }));
    fixture.run(PromotionFixture::removalTime);
    fixture.acknowledge({ 2, 130 }, { fixture.b, fixture.c });
    fixture.makeUnreachable(fixture.b);
    fixture.listAs(fixture.a, true);
    fixture.store.put(storeKeys::changes + "ledger", storeKeys::changeOpen);
    fixture.driver().onChangeRecord(fixture.group, true, fixture.timers.now());
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect(fixture.promotions.incomplete.empty(), "a lacks commits of b");
    fixture.bringBack(fixture.b);
    cr_expect(fixture.runUntil(
        2 * promotionLimit, [&] { return (fixture.leads(fixture.b) || fixture.leads(fixture.c)) && fixture.write(); }));
    cr_expect(fixture.promotions.incomplete.empty());
}

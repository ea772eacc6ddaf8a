#include "almondlever/store/PromotionClaim.h"
#include "mocks/PromotionFixture.h"

using namespace almondlever;

namespace {

/** Normal operation before a fault. */
constexpr Milliseconds normalPeriod { 4000 };
constexpr Milliseconds observationPeriod = 2 * DispatcherSettings().membershipSettleTime;
/** Time to a new primary once one can be chosen. */
constexpr Milliseconds promotionLimit { 5000 };

/** Another owner of the group, which reaches only the endpoint that a test names. */
class ReviewRelay final : public StepDownRelay {
public:
    explicit ReviewRelay(PromotionFixture& fixture)
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

} // namespace

// Guards against counting a server that copies the log of a later primary as the log of the former primary whose
// address it has: the only log that holds a commit is out of reach.
Test(PromotionQuorum, partialCopyAtThePrimarysAddressIsNoSuccessor)
{
    PromotionFixture fixture;
    const EndpointId e("e");
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.crash(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b) && fixture.driver().isIdle(); }));
    fixture.run(PromotionFixture::removalTime);
    fixture.restartEmpty(e);
    fixture.endpoints.server(e).position = { 1, 110 };
    fixture.endpoints.server(e).reportsPosition = true;
    fixture.run(Milliseconds(1000));
    fixture.crash(fixture.b);
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect_eq(fixture.promotions.promoted.size(), 1U, "neither c nor e holds 120");
    cr_expect(fixture.promotions.incomplete.empty());
}

// Guards against comparing fewer logs at once when a configuration raises the number of synchronous replicas: earlier
// commits have one copy beside the primary's.
Test(PromotionQuorum, raisedNumberOfCopiesDoesNotHoldForEarlierCommits)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.driver().setGroups({ { fixture.group, { fixture.group, 40, 2 } } });
    fixture.run(Milliseconds(1000));
    fixture.makeUnreachable(fixture.a);
    fixture.endpoints.server(fixture.b).isSilent = true;
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect(fixture.promotions.promoted.empty(), "c lacks acknowledged commits");
    cr_expect(fixture.promotions.incomplete.empty());
}

// Guards against taking a group that grows for one in which an endpoint was replaced: the endpoint without an entry is
// only cut off from the store, and still helps the primary to acknowledge commits.
Test(PromotionQuorum, growthIsNoReplacement)
{
    PromotionFixture fixture;
    const EndpointId d("d");
    fixture.run(normalPeriod);
    fixture.makeUnreachable(fixture.b);
    fixture.run(PromotionFixture::removalTime);
    fixture.list(d);
    fixture.run(observationPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.makeUnreachable(fixture.a);
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect(fixture.promotions.promoted.empty(), "c and d lack acknowledged commits");
    cr_expect(fixture.promotions.incomplete.empty());
}

// Guards against removing a leaving endpoint from the record that has lost its entry, but has not ended: it still helps
// the primary to acknowledge commits.
Test(PromotionQuorum, leavingEndpointWithoutAnEntryMayStillServe)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.announceExit(fixture.b);
    fixture.makeUnreachable(fixture.b);
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.makeUnreachable(fixture.a);
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect(fixture.promotions.promoted.empty(), "c lacks acknowledged commits");
    cr_expect(fixture.promotions.incomplete.empty());
}

// Guards against restoring an older leader in the record of changes: another daemon changed the primary between the
// read of the record and the claim. Afterwards the end of the former primary's log would again count as final.
Test(PromotionQuorum, leaderOfALaterChangeIsNotOverwritten)
{
    PromotionFixture fixture;
    const EndpointId d("d");
    fixture.list(d);
    ReviewRelay relay(fixture);
    fixture.setRelay(&relay);
    const std::string record = storeKeys::changes + "ledger";
    fixture.store.put(record, RecordedLeader::encode(RecordedLeader { fixture.a, 1 }));
    fixture.run(normalPeriod);
    fixture.store.delay = Milliseconds(300);
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return !fixture.driver().isIdle(); }));
    fixture.run(Milliseconds(400));
    // Another owner changes the primary and ends its claim; the lease of this one's is still being granted.
    cr_assert_eq(fixture.store.valueOf(record), RecordedLeader::encode(RecordedLeader { fixture.a, 1 }));
    fixture.store.put(record, RecordedLeader::encode(RecordedLeader { fixture.b, 2 }));
    fixture.endpoints.server(fixture.a).leads = false;
    fixture.endpoints.server(fixture.b).leads = true;
    fixture.endpoints.server(fixture.b).position.term = 2;
    fixture.list(fixture.b);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.driver().isIdle(); }));
    fixture.store.delay = Milliseconds(4);
    fixture.run(PromotionFixture::removalTime);
    cr_expect_eq(fixture.store.valueOf(record), RecordedLeader::encode(RecordedLeader { fixture.b, 2 }), "%s",
        fixture.store.valueOf(record).c_str());
    fixture.acknowledge({ 2, 130 }, { fixture.b, d });
    fixture.restartDaemon();
    fixture.run(Milliseconds(1000));
    const std::size_t before = fixture.promotions.promoted.size();
    fixture.makeUnreachable(fixture.b);
    fixture.makeUnreachable(d);
    fixture.listAs(fixture.a, true);
    relay.reachable = fixture.a;
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect_eq(fixture.promotions.promoted.size(), before, "c reaches the end of a's log, but lacks commits of b");
    cr_expect(fixture.promotions.incomplete.empty());
}

// Guards against a replica that stays paused because its answer to the order came after the primary's had ended the
// attempt.
Test(PromotionQuorum, replicaThatAnswersThePauseAfterTheAttemptIsResumed)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.endpoints.server(fixture.c).isSilent = true;
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return !fixture.driver().isIdle(); }));
    fixture.endpoints.server(fixture.b).distance = Milliseconds(600);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.endpoints.server(fixture.b).pausedIn != 0; }));
    fixture.endpoints.server(fixture.b).distance = Milliseconds(1);
    fixture.bringBack(fixture.c);
    fixture.bringBack(fixture.a);
    fixture.run(2 * observationPeriod);
    cr_expect(fixture.driver().isIdle());
    cr_expect(fixture.leads(fixture.a));
    cr_expect_eq(fixture.endpoints.server(fixture.b).pausedIn, 0U);
    cr_expect_eq(fixture.endpoints.server(fixture.c).pausedIn, 0U);
}

// Guards against a replica that stays paused because it was not listed when the change that paused it was recovered.
Test(PromotionQuorum, pausedReplicaThatReturnsAfterTheRecoveryIsResumed)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.endpoints.server(fixture.c).isSilent = true;
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.endpoints.server(fixture.b).pausedIn != 0; }));
    fixture.makeUnreachable(fixture.b);
    fixture.restartDaemon();
    fixture.driver().onChangeRecord(fixture.group, true, fixture.timers.now());
    fixture.run(PromotionFixture::removalTime);
    fixture.bringBack(fixture.c);
    fixture.bringBack(fixture.a);
    cr_expect(fixture.runUntil(4 * promotionLimit, [&] {
        return fixture.driver().isIdle()
            && fixture.store.valueOf(storeKeys::changes + "ledger") != storeKeys::changeOpen;
    }));
    fixture.bringBack(fixture.b);
    fixture.run(2 * observationPeriod);
    cr_expect(fixture.leads(fixture.a));
    cr_expect_eq(fixture.endpoints.server(fixture.b).pausedIn, 0U);
}

// Guards against a daemon that goes on reporting missing logs, and refuses at once in the next change, because it
// ceased to be an owner of the group before the primary was back.
Test(PromotionQuorum, daemonThatNoLongerOwnsTheGroupForgetsMissingLogs)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.endpoints.server(fixture.b).isSilent = true;
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(2 * promotionLimit, [&] { return fixture.missingLogs() > 0; }));
    fixture.driver().setOwners({ { fixture.group, { "vm-2" } } });
    fixture.bringBack(fixture.b);
    fixture.bringBack(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.write(); }));
    fixture.run(observationPeriod);
    cr_expect_eq(fixture.missingLogs(), 0);
}

// Guards against replacing a primary that answers again, and against leaving the record of changes open: the change
// record that this daemon opened with its claim reaches it before it has read the members, and is not an unfinished
// change of another daemon.
Test(PromotionQuorum, ownOpenRecordIsNoUnfinishedChange)
{
    PromotionFixture fixture;
    ReviewRelay relay(fixture);
    relay.reachable = fixture.a;
    fixture.setRelay(&relay);
    const std::string record = storeKeys::changes + "ledger";
    fixture.run(normalPeriod);
    fixture.store.delay = Milliseconds(600);
    fixture.endpoints.server(fixture.a).isSilent = true;
    cr_assert(fixture.runUntil(promotionLimit, [&] { return !fixture.driver().isIdle(); }));
    fixture.endpoints.server(fixture.a).isSilent = false;
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.store.valueOf(record) == storeKeys::changeOpen; }));
    fixture.driver().onChangeRecord(fixture.group, true, fixture.timers.now());
    cr_assert(fixture.write(), "a serves again");
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.driver().isIdle(); }));
    fixture.run(Milliseconds(1000));
    cr_expect(fixture.leads(fixture.a));
    cr_expect(fixture.promotions.promoted.empty());
    cr_expect_neq(fixture.store.valueOf(record), storeKeys::changeOpen);
}

// A daemon of the former version makes b the primary, and records no leader; this daemon reaches neither b nor d.
// Guards against taking an answer of the former primary from before that change as proof that it led until it stepped
// down.
Test(PromotionQuorum, earlierAnswerIsNoProofAfterAnotherEndpointHasLed)
{
    PromotionFixture fixture;
    const EndpointId d("d");
    const std::string record = storeKeys::changes + "ledger";
    fixture.list(d);
    ReviewRelay relay(fixture);
    fixture.setRelay(&relay);
    fixture.run(normalPeriod);
    fixture.store.put(record, storeKeys::changeDone);
    fixture.makeUnreachable(fixture.a);
    fixture.endpoints.server(fixture.a).leads = false;
    fixture.endpoints.server(fixture.b).isSilent = true;
    fixture.endpoints.server(d).isSilent = true;
    fixture.endpoints.server(fixture.b).leads = true;
    fixture.endpoints.server(fixture.b).position.term = 2;
    fixture.list(fixture.b);
    fixture.run(PromotionFixture::removalTime);
    fixture.acknowledge({ 2, 130 }, { fixture.b, d });
    fixture.makeUnreachable(fixture.b);
    fixture.makeUnreachable(d);
    fixture.run(Milliseconds(1000));
    cr_assert(fixture.promotions.promoted.empty());
    fixture.listAs(fixture.a, true);
    relay.reachable = fixture.a;
    fixture.run(PromotionFixture::removalTime + observationPeriod);
    cr_expect(fixture.promotions.promoted.empty(), "neither a nor c holds the commits of b");
    cr_expect(fixture.promotions.incomplete.empty());
}

// Guards against a group that stays without a primary although every server is back: runs of one endpoint never exist
// at the same time, so that a commit is in the log of at most one of them, and in that of another endpoint.
Test(PromotionQuorum, formerRunsOfOneEndpointCountOnce)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    fixture.crash(fixture.a);
    for (int restart = 0; restart < 2; ++restart) {
        fixture.restartEmpty(fixture.b);
        fixture.run(Milliseconds(2000));
    }
    cr_assert(fixture.promotions.promoted.empty(), "only a holds 120");
    fixture.bringBack(fixture.a);
    cr_expect(fixture.runUntil(2 * promotionLimit, [&] { return fixture.leads(fixture.a); }));
    cr_expect(fixture.promotions.incomplete.empty());
}

// Guards against a group without synchronous replicas that stays without a primary for good: nothing promises that its
// commits survive, and one replica of it is reached.
Test(PromotionQuorum, groupWithoutSynchronousReplicasIsServedByTheLastReplica)
{
    PromotionFixture fixture;
    fixture.driver().setGroups({ { fixture.group, { fixture.group, 40, 0 } } });
    fixture.run(normalPeriod);
    fixture.crash(fixture.a);
    fixture.crash(fixture.b);
    cr_expect(
        fixture.runUntil(PromotionFixture::removalTime + 2 * promotionLimit, [&] { return fixture.leads(fixture.c); }));
}

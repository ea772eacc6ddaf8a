#include "mocks/DispatcherFixture.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace almondlever;

// Guards against a read for the primary that runs on an endpoint that lost the lead without knowing: the transaction
// around it is what the endpoint refuses.
Test(StatementDispatcher, primaryReadRunsInsideATransaction)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.read("r1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    cr_assert_eq(fixture.endpoints.runs().size(), 1U);
    cr_assert(fixture.endpoints.runs()[0].endpoint == fixture.a);
    cr_assert(fixture.endpoints.runs()[0].wasInTransaction);
    cr_assert(caller.replies.back().state == TransactionState::None);
}

// Guards against stale reads on a superseded primary, and against giving up although another endpoint leads.
Test(StatementDispatcher, followsAPrimaryThatChanged)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).leads = false;
    fixture.endpoints.server(fixture.b).leads = true;
    fixture.endpoints.server(fixture.b).position = { 2, 101 };
    FakeCaller caller(fixture, "orders");
    caller.read("r1");
    fixture.advance(Milliseconds(600));
    cr_assert(caller.succeeded());
    cr_assert(fixture.endpoints.runs().back().endpoint == fixture.b);
    cr_assert_eq(fixture.endpoints.runsOf("r1"), 1U);
}

// Guards against reads of stale replicas: one that lacks the needed position refuses, and the read goes elsewhere.
Test(StatementDispatcher, laggingReplicasAreLeftOut)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).position = { 1, 500 };
    fixture.advance(Milliseconds(2500));
    FakeCaller caller(fixture, "proofs");
    caller.read("r1");
    fixture.advance(Milliseconds(200));
    cr_assert(caller.succeeded());
    cr_assert(fixture.endpoints.runs().back().endpoint == fixture.a);
}

// Guards against a write that is sent twice because its answer was lost.
Test(StatementDispatcher, lostAnswerOfAWriteIsUnknown)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).lostAnswers = 1;
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(300));
    cr_assert(caller.hasError(StatementError::Unknown));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 1U);
}

// Guards against failing a read whose answer was lost although it can run elsewhere.
Test(StatementDispatcher, lostAnswerOfAReadIsRepeated)
{
    DispatcherFixture fixture;
    for (const EndpointId& id : { fixture.a, fixture.b, fixture.c })
        fixture.endpoints.server(id).lostAnswers = 1;
    FakeCaller caller(fixture, "jobs");
    caller.read("r1");
    fixture.advance(Milliseconds(600));
    cr_assert(caller.succeeded());
    cr_assert_geq(fixture.endpoints.runsOf("r1"), 2U);
}

// Guards against reporting a lost transaction as unknown although only its commit could have had an effect.
Test(StatementDispatcher, connectionLostInATransactionAborts)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.begin();
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    fixture.endpoints.server(fixture.a).lostAnswers = 1;
    caller.write("w2");
    fixture.advance(Milliseconds(200));
    cr_assert(caller.hasError(StatementError::Aborted));
    cr_assert(caller.replies.back().state == TransactionState::Failed);
}

// Guards against claiming that a commit had no effect when its answer was lost.
Test(StatementDispatcher, lostAnswerOfACommitIsUnknown)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.begin();
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    fixture.endpoints.server(fixture.a).lostAnswers = 1;
    caller.commit("c1");
    fixture.advance(Milliseconds(200));
    cr_assert(caller.hasError(StatementError::Unknown));
}

// Guards against holding a statement until its deadline although no primary can be there in time.
Test(StatementDispatcher, refusesAtOnceWithoutAPrimary)
{
    DispatcherSettings settings;
    settings.usualPrimaryChange = Milliseconds(3000);
    DispatcherFixture fixture(settings);
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(500));
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    cr_assert(caller.hasError(StatementError::Busy));
    cr_assert(caller.replies.back().detail.find("retry after") != std::string::npos);
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
}

// Guards against failing reads that a replica can serve while the primary is being replaced.
Test(StatementDispatcher, replicasServeReadsWithoutAPrimary)
{
    DispatcherFixture fixture;
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(300));
    FakeCaller caller(fixture, "proofs");
    caller.read("r1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
}

// Guards against reads from replicas when nobody knows any more what the primary acknowledged.
Test(StatementDispatcher, doesNotReadWithoutAPositionThatIsNewEnough)
{
    DispatcherFixture fixture;
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(2500));
    FakeCaller caller(fixture, "proofs");
    caller.read("r1");
    fixture.advance(Milliseconds(1500));
    cr_assert(!caller.replies.empty());
    cr_assert(caller.replies.back().error.has_value());
    cr_assert_eq(fixture.endpoints.runsOf("r1"), 0U);
}

// Guards against a silent primary being found only after the time-outs of statements.
Test(StatementDispatcher, silentPrimaryIsSuspectedSoon)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).isSilent = true;
    fixture.advance(Milliseconds(900));
    cr_assert(fixture.dispatcher.primaryFailingSince(fixture.group, fixture.timers.now()));
}

// Pattern: answers are lost without a word on every open connection of a primary that lives (kpa-almond inc-9522).
// Guards against replacing such a primary, and against statements that wait for connections which return nothing.
Test(StatementDispatcher, lostAnswersOnAllConnectionsAreNoFailure)
{
    DispatcherFixture fixture;
    fixture.configuration->groups[fixture.group].maximumConnections = 34;
    fixture.dispatcher.setGroups(fixture.configuration->groups, fixture.timers.now());
    fixture.dispatcher.setSharing({ { fixture.group, 9 } }, fixture.timers.now());
    std::vector<std::unique_ptr<FakeCaller>> callers;
    const auto readAll = [&](const std::string& name) {
        for (int i = 0; i < 8; ++i) {
            callers.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
            callers.back()->read(name + std::to_string(i));
        }
    };
    readAll("warm");
    fixture.advance(Milliseconds(200));
    fixture.endpoints.server(fixture.a).deafBefore = fixture.endpoints.lastConnection() + 1;
    callers.clear();
    FakeCaller firstWriter(fixture, "orders");
    FakeCaller secondWriter(fixture, "orders");
    FakeCaller thirdWriter(fixture, "orders");
    for (FakeCaller* writer : { &firstWriter, &secondWriter, &thirdWriter })
        writer->write("w");
    fixture.advance(Milliseconds(10));
    readAll("r");
    fixture.advance(Milliseconds(940));
    cr_assert(!fixture.dispatcher.primaryFailingSince(fixture.group, fixture.timers.now()));
    for (const auto& caller : callers)
        cr_assert(caller->succeeded());
}

// Guards against replacing a primary that only has no connection left for this daemon.
Test(StatementDispatcher, tooManyConnectionsIsNoFailure)
{
    DispatcherFixture fixture;
    auto& primary = fixture.endpoints.server(fixture.a);
    fixture.endpoints.crash(fixture.a);
    primary.isDown = false;
    primary.leads = true;
    primary.maximumConnections = 0;
    fixture.advance(Milliseconds(4000));
    cr_assert(!fixture.dispatcher.primaryFailingSince(fixture.group, fixture.timers.now()));
}

// Guards against suspecting endpoints after this process itself stood still.
Test(StatementDispatcher, ownStallIsNoSilence)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).work = Milliseconds(100);
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    const TimePoint wake = fixture.timers.now() + Milliseconds(5000);
    fixture.dispatcher.onTick(wake);
    cr_assert(!fixture.dispatcher.primaryFailingSince(fixture.group, wake));
}

// Guards against orders about replication that wait for a connection which a loaded endpoint refuses.
Test(StatementDispatcher, ordersUseAnOpenConnection)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.b).maximumConnections = fixture.endpoints.server(fixture.b).connections;
    EndpointCommand pause;
    pause.kind = EndpointCommand::Kind::PauseReplication;
    pause.term = 5;
    bool isAnswered = false;
    fixture.dispatcher.order(
        fixture.b, pause,
        [&](const std::optional<EndpointReplicationStatus>& status, const std::string&, TimePoint) {
            isAnswered = status && !status->isPrimary;
        },
        fixture.timers.now());
    fixture.advance(Milliseconds(50));
    cr_assert(isAnswered);
    cr_assert_eq(fixture.endpoints.server(fixture.b).pausedIn, 5U);
}

// Guards against a leaving primary that gets work for longer than the platform allows.
Test(StatementDispatcher, leavingPrimaryGetsNothingAfterTheLimit)
{
    DispatcherSettings settings;
    settings.drainLimit = Milliseconds(2000);
    DispatcherFixture fixture(settings);
    EndpointEntry entry = fixture.entryOf(fixture.a);
    entry.isLeaving = true;
    fixture.directory.update(entry, fixture.timers.now());
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded(), "it leads until another one does");
    fixture.advance(Milliseconds(2200));
    caller.write("w2");
    fixture.advance(Milliseconds(1500));
    cr_assert(caller.replies.back().error.has_value());
    cr_assert_eq(fixture.endpoints.runsOf("w2"), 0U);
}

// Guards against a connection that stays in a transaction whose caller left while its first statement ran.
Test(StatementDispatcher, abandonedFirstStatementFreesItsConnection)
{
    DispatcherFixture fixture;
    for (int i = 0; i < 60; ++i) {
        FakeCaller caller(fixture, "orders");
        caller.begin();
        caller.write("w" + std::to_string(i));
        fixture.advance(Milliseconds(5));
        caller.session.onCallerClosed(fixture.timers.now());
        fixture.advance(Milliseconds(50));
    }
    FakeCaller caller(fixture, "orders");
    caller.write("last");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
}

// Pattern: all VMs lose power and start again while the endpoints still hold their former connections.
// Guards against taking so many connections that restarted daemons find no room.
Test(StatementDispatcher, keepsRoomForRestartedDaemons)
{
    DispatcherFixture fixture;
    fixture.configuration->groups[fixture.group].maximumConnections = 34;
    fixture.dispatcher.setGroups(fixture.configuration->groups, fixture.timers.now());
    fixture.dispatcher.setSharing({ { fixture.group, 9 } }, fixture.timers.now());
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < 60; ++i) {
        callers.push_back(std::make_unique<FakeCaller>(fixture, i % 3 == 0 ? "orders" : "jobs"));
        callers.back()->read("r" + std::to_string(i));
    }
    fixture.advance(Milliseconds(400));
    const std::size_t underLoad = fixture.endpoints.server(fixture.a).connections;
    cr_assert_leq(underLoad * 9, 34U - 9U, "each of nine daemons must find one connection");
    fixture.advance(Milliseconds(4000));
    cr_assert_eq(fixture.endpoints.server(fixture.a).connections, 1U);
}

// Pattern: a whole fleet loses power and is back within a second, while the endpoints still count the connections of
// its former life. Guards against connections held without need, which leave no room for the restarted owners.
Test(StatementDispatcher, restartedOwnersFindRoomBesideTheirFormerLife)
{
    for (const std::size_t maximum : { 21U, 34U, 53U, 125U }) {
        DispatcherFixture fixture;
        const std::size_t owners = 3;
        fixture.configuration->groups[fixture.group].maximumConnections = maximum;
        fixture.dispatcher.setGroups(fixture.configuration->groups, fixture.timers.now());
        fixture.dispatcher.setSharing({ { fixture.group, owners } }, fixture.timers.now());
        std::vector<std::unique_ptr<FakeCaller>> callers;
        for (int i = 0; i < 60; ++i) {
            callers.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
            callers.back()->begin();
            callers.back()->write("w" + std::to_string(i));
        }
        fixture.advance(Milliseconds(400));
        const std::size_t underLoad = fixture.endpoints.server(fixture.a).connections;
        cr_assert_lt(underLoad * owners, maximum, "resting transactions count as well");
        for (const auto& caller : callers)
            caller->session.onCallerClosed(fixture.timers.now());
        fixture.advance(Milliseconds(6000));
        const std::size_t calm = fixture.endpoints.server(fixture.a).connections;
        cr_assert_geq(calm, 1U);
        cr_assert_leq(2 * calm * owners, maximum, "%zu connections of %zu", calm, maximum);
    }
}

// Pattern: the lowest rank bursts while both replicas are too old for it, so that all work meets at the primary.
// Guards against urgent statements that wait behind the burst.
Test(StatementDispatcher, urgentWorkIsServedThroughABurstOnThePrimary)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).position = { 1, 500 };
    fixture.advance(Milliseconds(2000));
    std::vector<std::unique_ptr<FakeCaller>> burst;
    std::vector<std::unique_ptr<FakeCaller>> urgent;
    for (int round = 0; round < 40; ++round) {
        for (int i = 0; i < 20; ++i) {
            burst.push_back(std::make_unique<FakeCaller>(fixture, "jobs"));
            burst.back()->read("b" + std::to_string(burst.size()));
        }
        urgent.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
        urgent.back()->write("u" + std::to_string(urgent.size()));
        fixture.advance(Milliseconds(50));
    }
    fixture.advance(Milliseconds(150));
    const auto served = [](const std::vector<std::unique_ptr<FakeCaller>>& callers) {
        return std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return caller->succeeded(); });
    };
    cr_assert_eq(served(urgent), 40);
    // 2 slots and 10 ms a statement bear 400 in the two seconds; the primary must not idle beside the urgent ones.
    cr_assert_geq(served(burst), 200);
    fixture.advance(Milliseconds(1500));
    const bool areAllAnswered
        = std::all_of(burst.begin(), burst.end(), [](const auto& caller) { return caller->replies.size() == 1; });
    cr_assert(areAllAnswered);
}

// Pattern: two of three endpoints crash, so that no other primary can be promoted until one of them returns.
// Guards against statements that are held until their deadline although nobody can serve them.
Test(StatementDispatcher, refusesAtOnceWhileNoPrimaryCanBePromoted)
{
    DispatcherFixture fixture;
    fixture.endpoints.crash(fixture.a);
    fixture.endpoints.crash(fixture.b);
    fixture.advance(Milliseconds(1500));
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    cr_assert(caller.hasError(StatementError::Busy));
    cr_assert(caller.replies.back().detail.find("retry after") != std::string::npos);
}

// Pattern: a change of the primary takes far longer than usual.
// Guards against an estimate that stays short however long callers were told to wait.
Test(StatementDispatcher, refusesAtOnceWhenAChangeLastsFarLongerThanUsual)
{
    DispatcherFixture fixture;
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(2500));
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    cr_assert(caller.hasError(StatementError::Busy));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
}

// Pattern: callers keep coming while a group has no primary for a usual time.
// Guards against refusing what the next primary serves in time.
Test(StatementDispatcher, holdsWhatTheNextPrimaryServesInTime)
{
    DispatcherFixture fixture;
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(500));
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(300));
    cr_assert(caller.replies.empty());
    fixture.endpoints.server(fixture.b).leads = true;
    fixture.directory.noteLeading(fixture.b, 2);
    fixture.dispatcher.onDirectoryChange(fixture.timers.now());
    fixture.advance(Milliseconds(200));
    cr_assert(caller.succeeded());
}

// Pattern: a primary is cut off from its replicas only; it answers begins and reads, and no write is acknowledged.
// Guards against such a primary leading for as long as the fault lasts.
Test(StatementDispatcher, findsAPrimaryThatAcknowledgesNoWrite)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).stallsWrites = true;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    const auto writeFor = [&](int rounds) {
        for (int i = 0; i < rounds; ++i) {
            callers.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
            callers.back()->write("w" + std::to_string(callers.size()));
            fixture.advance(Milliseconds(200));
        }
    };
    writeFor(12);
    cr_assert(!fixture.dispatcher.writesStalledSince(fixture.group, fixture.timers.now()), "may be a short fault");
    writeFor(10);
    cr_assert(fixture.dispatcher.writesStalledSince(fixture.group, fixture.timers.now()));
    cr_assert(!fixture.dispatcher.primaryFailingSince(fixture.group, fixture.timers.now()));
}

// Guards against replacing a primary whose answers are lost now and then.
Test(StatementDispatcher, anAcknowledgedWriteEndsTheSuspicionOfAStall)
{
    DispatcherFixture fixture;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < 25; ++i) {
        fixture.endpoints.server(fixture.a).stallsWrites = i % 4 != 0;
        callers.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
        callers.back()->write("w" + std::to_string(i));
        fixture.advance(Milliseconds(200));
    }
    cr_assert(!fixture.dispatcher.writesStalledSince(fixture.group, fixture.timers.now()));
}

// Pattern: both replicas are down, so that the primary waits for a receipt of every commit; each holds a slot.
// Guards against writes that are sent although no replica can receive them, and that leave their callers in doubt.
Test(StatementDispatcher, refusesWritesThatNoReplicaCanReceive)
{
    DispatcherFixture fixture;
    fixture.endpoints.crash(fixture.b);
    fixture.endpoints.crash(fixture.c);
    fixture.endpoints.server(fixture.a).stallsWrites = true;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
        callers.back()->write("w" + std::to_string(i));
    }
    fixture.advance(Milliseconds(1500));
    FakeCaller late(fixture, "orders");
    late.write("late");
    cr_assert(late.hasError(StatementError::Busy));
    cr_assert_eq(fixture.endpoints.runsOf("late"), 0U);
    FakeCaller reader(fixture, "orders");
    reader.read("r1");
    fixture.advance(Milliseconds(200));
    cr_assert(reader.succeeded(), "reads need no replica");
}

// Guards against a promotion that only looks at the members which are left: what a replica held counts after it left.
Test(StatementDispatcher, remembersWhatWasAcknowledged)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    cr_assert(
        fixture.dispatcher.acknowledgedPositionOf(fixture.group, fixture.timers.now()) == LogPosition({ 1, 101 }));
}

// Pattern: a primary that was cut off and replaced writes its entry again; another server uses its address by now.
// Guards against statements that wait for an endpoint which no longer exists, although the leader answers.
Test(StatementDispatcher, endpointThatIsNotAtItsAddressDoesNotLead)
{
    DispatcherFixture fixture;
    const EndpointId gone("gone");
    fixture.endpoints.server(gone).isElsewhere = true;
    fixture.endpoints.server(gone).leads = true;
    fixture.directory.update(fixture.entryOf(gone), fixture.timers.now());
    fixture.dispatcher.onDirectoryChange(fixture.timers.now());
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(300));
    cr_assert(caller.succeeded());
    cr_assert(fixture.endpoints.runs().back().endpoint == fixture.a);
}

// Pattern: a replica is gone, and the primary goes on with another one that this daemon has not heard of yet.
// Guards against promoting a replica that lacks what the primary had told before it failed (soak seed 135).
Test(StatementDispatcher, whatThePrimaryToldCountsWhileMembersChange)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).position = { 1, 445 };
    // The members are new to the daemon when it starts.
    fixture.advance(Milliseconds(16000));
    cr_assert(fixture.dispatcher.acknowledgedPositionOf(fixture.group, fixture.timers.now()) < LogPosition({ 1, 445 }));
    fixture.directory.lapse(fixture.c, fixture.directory.find(fixture.c)->revision, fixture.timers.now());
    fixture.advance(Milliseconds(2100));
    fixture.directory.removeLapsed(fixture.timers.now());
    cr_assert(
        fixture.dispatcher.acknowledgedPositionOf(fixture.group, fixture.timers.now()) == LogPosition({ 1, 445 }));
    fixture.advance(Milliseconds(16000));
    cr_assert(fixture.dispatcher.acknowledgedPositionOf(fixture.group, fixture.timers.now()) < LogPosition({ 1, 445 }));
}

// Pattern: hundreds of groups of which few get statements at a time.
// Guards against a cost of each group that no caller uses.
Test(StatementDispatcher, idleGroupIsAskedSeldom)
{
    DispatcherFixture fixture;
    fixture.advance(Milliseconds(5000));
    const std::size_t before = fixture.endpoints.server(fixture.a).commands;
    fixture.advance(Milliseconds(10000));
    // A question is a begin and its rollback.
    cr_assert_leq(fixture.endpoints.server(fixture.a).commands - before, 12U);
    FakeCaller caller(fixture, "jobs");
    caller.read("r1");
    fixture.advance(Milliseconds(300));
    cr_assert(caller.succeeded());
}

// Guards against a transaction that writes although no replica can receive its commit.
Test(StatementDispatcher, abortsTransactionsThatNoReplicaCanReceive)
{
    DispatcherFixture fixture;
    FakeCaller early(fixture, "orders");
    early.begin();
    early.read("r1");
    fixture.advance(Milliseconds(100));
    cr_assert(early.succeeded());
    fixture.endpoints.crash(fixture.b);
    fixture.endpoints.crash(fixture.c);
    fixture.endpoints.server(fixture.a).stallsWrites = true;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
        callers.back()->write("w" + std::to_string(i));
    }
    fixture.advance(Milliseconds(1500));
    early.write("late");
    cr_assert(early.hasError(StatementError::Aborted));
    cr_assert_eq(fixture.endpoints.runsOf("late"), 0U);
    cr_assert(early.replies.back().state == TransactionState::Failed);
}

// Pattern: the primary is down, and the replicas are behind what a read must see.
// Guards against asking the replicas again and again until the deadline of the read.
Test(StatementDispatcher, readsThatReplicasCannotServeAreRefusedInTime)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "jobs");
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(1000));
    caller.read("r1");
    fixture.advance(Milliseconds(100));
    cr_assert_eq(caller.replies.size(), 1U, "a replica may catch up");
    fixture.advance(Milliseconds(400));
    cr_assert_eq(caller.replies.size(), 2U, "half of its second is over");
    cr_assert(caller.hasError(StatementError::Busy));
}

// Pattern: a long queue has gathered while a group is without a primary.
// Guards against queueing behind it what the next primary cannot reach in time.
Test(StatementDispatcher, countsTheQueueThatGatheredWithoutAPrimary)
{
    DispatcherFixture fixture;
    fixture.configuration->groups[fixture.group].maximumConnections = 34;
    fixture.dispatcher.setGroups(fixture.configuration->groups, fixture.timers.now());
    fixture.dispatcher.setSharing({ { fixture.group, 9 } }, fixture.timers.now());
    std::vector<std::unique_ptr<FakeCaller>> callers;
    const auto write = [&] {
        callers.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
        callers.back()->write("w" + std::to_string(callers.size()));
    };
    for (int i = 0; i < 40; ++i) {
        write();
        fixture.advance(Milliseconds(20));
    }
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(500));
    for (int i = 0; i < 150; ++i)
        write();
    const auto refused = std::count_if(
        callers.begin(), callers.end(), [](const auto& caller) { return caller->hasError(StatementError::Busy); });
    // Two slots and 10 ms a statement leave room for some of the 150, not for all, in the half second that remains.
    cr_assert_gt(refused, 20);
    cr_assert_lt(refused, 150);
}

// Guards against counting what a primary appended in its last moment, which no replica may have received.
Test(StatementDispatcher, whatThePrimaryToldLastDoesNotCount)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).position = { 1, 445 };
    fixture.advance(Milliseconds(1000));
    FakeCaller caller(fixture, "orders");
    caller.read("r1");
    fixture.advance(Milliseconds(400));
    fixture.endpoints.server(fixture.a).position = { 1, 460 };
    caller.read("r2");
    fixture.advance(Milliseconds(50));
    cr_assert(caller.succeeded());
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(300));
    cr_assert(
        fixture.dispatcher.acknowledgedPositionOf(fixture.group, fixture.timers.now()) == LogPosition({ 1, 445 }));
}

// Pattern: a replica was ahead of the one that was promoted, and is rolled back.
// Guards against holding the next promotion to commits that are gone.
Test(StatementDispatcher, forgetsPositionsOfTheFormerPrimary)
{
    DispatcherFixture fixture;
    fixture.advance(Milliseconds(16000));
    fixture.endpoints.server(fixture.c).position = { 1, 150 };
    std::vector<std::unique_ptr<FakeCaller>> readers;
    const auto readAll = [&] {
        for (int i = 0; i < 12; ++i) {
            readers.push_back(std::make_unique<FakeCaller>(fixture, "proofs"));
            readers.back()->read("r" + std::to_string(readers.size()));
        }
        fixture.advance(Milliseconds(300));
    };
    const auto held = [&] { return fixture.dispatcher.acknowledgedPositionOf(fixture.group, fixture.timers.now()); };
    readAll();
    cr_assert(held() == LogPosition({ 1, 150 }), "a replica holds it, so the primary did too");
    fixture.endpoints.server(fixture.a).leads = false;
    fixture.endpoints.server(fixture.b).leads = true;
    fixture.endpoints.server(fixture.b).position = { 2, 101 };
    fixture.directory.noteLeading(fixture.b, 2);
    fixture.dispatcher.onDirectoryChange(fixture.timers.now());
    EndpointCommand status;
    status.kind = EndpointCommand::Kind::QueryStatus;
    bool isAnswered = false;
    fixture.dispatcher.order(
        fixture.c, status,
        [&](const std::optional<EndpointReplicationStatus>& answer, const std::string&, TimePoint) {
            isAnswered = answer.has_value();
        },
        fixture.timers.now());
    fixture.advance(Milliseconds(100));
    cr_assert(isAnswered);
    cr_assert(held() < LogPosition({ 1, 150 }), "answers of the former term do not count either");
}

// Pattern: the primary is down; a replica applies what it received a moment later.
// Guards against refusing reads that it serves then.
Test(StatementDispatcher, waitsAMomentForAReplicaThatCatchesUp)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "jobs");
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(1000));
    caller.read("r1");
    fixture.advance(Milliseconds(100));
    cr_assert_eq(caller.replies.size(), 1U);
    fixture.endpoints.server(fixture.b).position = { 1, 101 };
    fixture.advance(Milliseconds(200));
    cr_assert(caller.succeeded());
    cr_assert_eq(caller.replies.size(), 2U);
}

// Guards against a change of primary that cannot help, because too few replicas answer.
Test(StatementDispatcher, aStallWithoutReplicasIsNoReasonForAChange)
{
    DispatcherFixture fixture;
    fixture.endpoints.crash(fixture.b);
    fixture.endpoints.server(fixture.a).stallsWrites = true;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < 22; ++i) {
        callers.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
        callers.back()->write("w" + std::to_string(i));
        fixture.advance(Milliseconds(200));
    }
    cr_assert(!fixture.dispatcher.writesStalledSince(fixture.group, fixture.timers.now()));
}

// Guards against forgetting what was acknowledged because the same primary was out of sight for a moment.
Test(StatementDispatcher, remembersAcrossAMomentWithoutPrimary)
{
    DispatcherFixture fixture;
    fixture.advance(Milliseconds(16000));
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    fixture.directory.noteNotLeading(fixture.a);
    fixture.dispatcher.onDirectoryChange(fixture.timers.now());
    fixture.advance(Milliseconds(500));
    cr_assert(fixture.directory.primaryOf(fixture.group), "it proved its lead again");
    cr_assert(
        fixture.dispatcher.acknowledgedPositionOf(fixture.group, fixture.timers.now()) >= LogPosition({ 1, 101 }));
}

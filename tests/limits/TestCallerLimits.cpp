#include "almondlever/limits/CallerLimits.h"

#include <criterion/criterion.h>
#include <optional>
#include <random>
#include <vector>

using namespace almondlever;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = kibibyte * kibibyte;

class FakeConnection final : public LimitedConnection {
public:
    void scheduleClose(LimitReason reason) override { closed = reason; }
    void scheduleResume() override { ++resumes; }

    std::optional<LimitReason> closed;
    int resumes = 0;
    std::unique_ptr<CallerAccount> account;
};

LimitSettings smallSettings()
{
    LimitSettings settings;
    settings.callerDescriptors = 4;
    settings.mediumStatementBytes = 2 * settings.statementCopies * settings.mediumMessageBytes;
    settings.largeStatementBytes = 2 * settings.statementCopies * mebibyte;
    settings.sessionStateBytes = 2 * mebibyte;
    settings.unreadResponseBytes = mebibyte;
    return settings;
}

struct Fixture {
    explicit Fixture(const LimitSettings& limitSettings = smallSettings())
        : settings(limitSettings)
        , limits(settings, metrics)
    {
    }

    ~Fixture()
    {
        checkSums();
        connections.clear();
        cr_expect(limits.held() == HeldBytes(), "an account leaks");
        cr_expect_eq(limits.connections(), 0U);
    }

    FakeConnection& connect()
    {
        connections.push_back(std::make_unique<FakeConnection>());
        connections.back()->account = limits.accept(*connections.back(), now);
        return *connections.back();
    }

    FakeConnection& openSession(const std::string& database = "orders")
    {
        FakeConnection& connection = connect();
        cr_assert(connection.account);
        connection.account->onSession(database, now);
        return connection;
    }

    /** Reads an incomplete message up to this size in chunks, as far as the limits allow; returns what was read. */
    std::size_t receive(FakeConnection& connection, std::size_t from, std::size_t to)
    {
        std::size_t bytes = from;
        while (bytes < to && connection.account->mayContinue()) {
            bytes = std::min(to, bytes + 8 * kibibyte);
            connection.account->onIncompleteMessage(bytes, now);
        }
        return bytes;
    }

    void advance(Milliseconds duration)
    {
        for (Milliseconds passed { 0 }; passed < duration; passed += CallerLimits::tickInterval) {
            now += CallerLimits::tickInterval;
            limits.onTick(now);
        }
    }

    void checkSums() { cr_expect(limits.held() == limits.sumOverAccounts(), "the total differs from the holders"); }

    LimitSettings settings;
    Metrics metrics;
    CallerLimits limits;
    TimePoint now { std::chrono::seconds(1000) };
    std::vector<std::unique_ptr<FakeConnection>> connections;
};

} // namespace

// Guards against a flood of incomplete statements that each hold a part of the memory, so that none is completed.
Test(CallerLimits, incompleteStatementsOfAFloodWaitForMemory)
{
    Fixture fixture;
    FakeConnection& first = fixture.openSession();
    FakeConnection& second = fixture.openSession();
    FakeConnection& third = fixture.openSession();
    cr_assert_eq(fixture.receive(first, 0, mebibyte), mebibyte);
    cr_assert_eq(fixture.receive(second, 0, mebibyte), mebibyte);
    const std::size_t stoppedAt = fixture.receive(third, 0, mebibyte);
    cr_assert_leq(stoppedAt, fixture.settings.mediumMessageBytes + 8 * kibibyte);
    cr_assert(!third.account->mayContinue());
    fixture.checkSums();
    // The first one completes and is answered; the third one goes on.
    first.account->onStatement(mebibyte, fixture.now);
    first.account->onMessage(fixture.now);
    cr_assert_eq(third.resumes, 0);
    first.account->onAnswer(false, fixture.now);
    cr_assert_eq(third.resumes, 1);
    cr_assert(third.account->mayContinue());
}

// Guards against stalled holders of memory that keep others waiting, and against closing those that make progress.
Test(CallerLimits, stalledHolderIsClosedOnlyWhileOthersWait)
{
    Fixture fixture;
    FakeConnection& stalled = fixture.openSession();
    FakeConnection& moving = fixture.openSession();
    fixture.receive(stalled, 0, 200 * kibibyte);
    std::size_t moved = fixture.receive(moving, 0, 200 * kibibyte);
    fixture.advance(Milliseconds(5000));
    cr_assert(!stalled.closed);
    FakeConnection& waiting = fixture.openSession();
    fixture.receive(waiting, 0, mebibyte);
    cr_assert(!waiting.account->mayContinue());
    for (int i = 0; i < 12 && !stalled.closed; ++i) {
        moved = fixture.receive(moving, moved, moved + 16 * kibibyte);
        fixture.advance(Milliseconds(250));
    }
    cr_assert(stalled.closed == LimitReason::ContendedSender);
    cr_assert(!moving.closed);
    stalled.account.reset();
    fixture.advance(Milliseconds(250));
    cr_assert(waiting.account->mayContinue());
    cr_assert(!waiting.closed);
}

// Guards against a statement that waits for memory for ever.
Test(CallerLimits, waitingStatementIsRejectedAfterItsTimeout)
{
    Fixture fixture;
    FakeConnection& first = fixture.openSession();
    FakeConnection& second = fixture.openSession();
    std::size_t firstBytes = fixture.receive(first, 0, 100 * kibibyte);
    std::size_t secondBytes = fixture.receive(second, 0, 100 * kibibyte);
    FakeConnection& waiting = fixture.openSession();
    fixture.receive(waiting, 0, mebibyte);
    for (int i = 0; i < 40 && !waiting.closed; ++i) {
        firstBytes = fixture.receive(first, firstBytes, firstBytes + 8 * kibibyte);
        secondBytes = fixture.receive(second, secondBytes, secondBytes + 8 * kibibyte);
        fixture.advance(Milliseconds(250));
    }
    cr_assert(waiting.closed == LimitReason::NoMemory);
    cr_assert(!first.closed && !second.closed);
}

// Guards against small statements that wait behind a flood of large ones.
Test(CallerLimits, smallStatementsNeverWait)
{
    Fixture fixture;
    for (int i = 0; i < 3; ++i)
        fixture.receive(fixture.openSession(), 0, mebibyte);
    FakeConnection& ordinary = fixture.openSession();
    ordinary.account->onIncompleteMessage(fixture.settings.smallMessageBytes, fixture.now);
    cr_assert(ordinary.account->mayContinue());
    ordinary.account->onStatement(fixture.settings.smallMessageBytes, fixture.now);
    ordinary.account->onMessage(fixture.now);
    ordinary.account->onAnswer(false, fixture.now);
    cr_assert(ordinary.account->mayContinue());
}

// Guards against a message that trickles, and against closing a legitimate slow link.
Test(CallerLimits, senderWithoutProgressIsClosed)
{
    Fixture fixture;
    FakeConnection& trickling = fixture.openSession();
    FakeConnection& slow = fixture.openSession();
    // 1 byte and 100 bytes in a quarter of a second.
    for (std::size_t i = 1; i <= 200; ++i) {
        if (!trickling.closed)
            trickling.account->onIncompleteMessage(i, fixture.now);
        slow.account->onIncompleteMessage(100 * i, fixture.now);
        fixture.advance(Milliseconds(250));
    }
    cr_assert(trickling.closed == LimitReason::SlowSender);
    cr_assert(!slow.closed);
}

// Guards against connections without STARTUP that keep their descriptors.
Test(CallerLimits, silentConnectionsAreClosedAfterTheStartupTimeout)
{
    Fixture fixture;
    FakeConnection& silent = fixture.connect();
    FakeConnection& session = fixture.openSession();
    fixture.advance(fixture.settings.startupTimeout - CallerLimits::tickInterval);
    cr_assert(!silent.closed);
    fixture.advance(CallerLimits::tickInterval);
    cr_assert(silent.closed == LimitReason::StartupTimeout);
    fixture.advance(std::chrono::minutes(60));
    cr_assert(!session.closed, "an idle session is closed although there is room");
}

// Guards against a flood of connections that displaces sessions in use.
Test(CallerLimits, connectionsMakeRoomInTheOrderOfTheirPriority)
{
    Fixture fixture;
    FakeConnection& busy = fixture.openSession("orders");
    busy.account->onStatement(10, fixture.now);
    FakeConnection& inTransaction = fixture.openSession("orders");
    inTransaction.account->onStatement(10, fixture.now);
    inTransaction.account->onAnswer(true, fixture.now);
    FakeConnection& idle = fixture.openSession("orders");
    fixture.advance(Milliseconds(100));
    FakeConnection& silent = fixture.connect();
    cr_assert(fixture.connect().account);
    cr_assert(silent.closed == LimitReason::SilentEvicted);
    fixture.connections.back()->account->onSession("orders", fixture.now);
    cr_assert(!fixture.connect().account, "an active session made room");
    fixture.advance(fixture.settings.shortestEvictedIdle);
    FakeConnection& next = fixture.connect();
    cr_assert(next.account);
    cr_assert(idle.closed == LimitReason::IdleEvicted);
    next.account->onSession("orders", fixture.now);
    cr_assert(!busy.closed && !inTransaction.closed);
    cr_assert_eq(fixture.limits.connections(), fixture.settings.callerDescriptors);
}

// Guards against a database whose sessions displace those of others.
Test(CallerLimits, databaseWithMostSessionsMakesRoom)
{
    Fixture fixture;
    FakeConnection& other = fixture.openSession("proofs");
    fixture.advance(Milliseconds(250));
    FakeConnection& flood = fixture.openSession("orders");
    for (int i = 0; i < 2; ++i)
        fixture.openSession("orders");
    fixture.advance(fixture.settings.shortestEvictedIdle);
    cr_assert(fixture.connect().account);
    cr_assert(flood.closed == LimitReason::IdleEvicted);
    cr_assert(!other.closed);
}

// Guards against sessions that stay in a transaction, open or rolled back, and keep all descriptors for ever.
Test(CallerLimits, sessionsThatIdleInTransactionsMakeRoomAtLast)
{
    Fixture fixture;
    for (std::size_t i = 0; i < fixture.settings.callerDescriptors; ++i) {
        FakeConnection& connection = fixture.openSession();
        connection.account->onStatement(10, fixture.now);
        connection.account->onAnswer(true, fixture.now);
        fixture.advance(Milliseconds(250));
    }
    FakeConnection& first = *fixture.connections[0];
    first.account->onStatement(10, fixture.now);
    fixture.advance(fixture.settings.shortestEvictedIdle);
    cr_assert(!fixture.connect().account, "a transaction was ended too early");
    fixture.advance(fixture.settings.shortestEvictedTransaction);
    cr_assert(fixture.connect().account);
    cr_assert(!first.closed, "a running statement was ended");
    cr_assert(fixture.connections[1]->closed == LimitReason::TransactionEvicted);
}

// Guards against a flood of one database that locks out the others by keeping its sessions active.
Test(CallerLimits, dominantDatabaseMakesRoomAlsoWhenItsSessionsAreActive)
{
    Fixture fixture;
    FakeConnection& other = fixture.openSession("proofs");
    for (std::size_t i = 1; i < fixture.settings.callerDescriptors; ++i)
        fixture.openSession("orders");
    cr_assert(fixture.connect().account);
    cr_assert(fixture.connections[1]->closed == LimitReason::IdleEvicted);
    cr_assert(!other.closed);
}

// Guards against one database that uses up the state of all sessions, and against refusing small state.
Test(CallerLimits, stateOfAFloodIsRefusedAndSmallStateAdmitted)
{
    Fixture fixture;
    FakeConnection& first = fixture.openSession("orders");
    FakeConnection& second = fixture.openSession("orders");
    FakeConnection& other = fixture.openSession("proofs");
    cr_assert(first.account->holdSessionState(1020 * kibibyte, 17, fixture.now));
    cr_assert(!second.account->holdSessionState(1020 * kibibyte, 17, fixture.now));
    cr_assert(second.account->holdSessionState(4 * kibibyte, 10, fixture.now));
    cr_assert(other.account->holdSessionState(400 * kibibyte, 10, fixture.now));
    // Many small values need more memory than their texts.
    cr_assert(!other.account->holdSessionState(400 * kibibyte, 100000, fixture.now));
    // Less state is admitted whatever others hold.
    cr_assert(first.account->holdSessionState(1000 * kibibyte, 17, fixture.now));
    fixture.checkSums();
}

// Guards against unread responses beyond their share, and against closing the caller that reads.
Test(CallerLimits, largestAndSlowestReaderIsClosed)
{
    Fixture fixture;
    FakeConnection& slow = fixture.openSession();
    FakeConnection& small = fixture.openSession();
    slow.account->onUnreadResponses(600 * kibibyte, fixture.now);
    small.account->onUnreadResponses(20 * kibibyte, fixture.now);
    cr_assert(!small.account->mayContinue());
    fixture.advance(Milliseconds(1000));
    FakeConnection& reader = fixture.openSession();
    reader.account->onUnreadResponses(900 * kibibyte, fixture.now);
    cr_assert(slow.closed == LimitReason::ContendedReader);
    cr_assert(!small.closed && !reader.closed);
    small.account->onUnreadResponses(0, fixture.now);
    cr_assert_eq(small.resumes, 1);
    cr_assert(small.account->mayContinue());
}

// Guards against a caller that never reads and keeps its descriptor, and against closing one that reads slowly.
Test(CallerLimits, readerWithoutProgressIsClosed)
{
    Fixture fixture;
    FakeConnection& stopped = fixture.openSession();
    FakeConnection& slow = fixture.openSession();
    std::size_t unread = 500 * kibibyte;
    stopped.account->onUnreadResponses(unread, fixture.now);
    for (int i = 0; i < 60; ++i) {
        slow.account->onUnreadResponses(unread -= kibibyte, fixture.now);
        fixture.advance(Milliseconds(1000));
    }
    cr_assert(stopped.closed == LimitReason::SlowReader);
    cr_assert(!slow.closed);
}

// Guards against statements that pile up in the daemon, and against a connection that never goes on.
Test(CallerLimits, pipelinedStatementsPauseReading)
{
    Fixture fixture;
    FakeConnection& caller = fixture.openSession();
    for (std::size_t i = 0; i < fixture.settings.pipelinedStatements; ++i) {
        cr_assert(caller.account->mayContinue());
        caller.account->onStatement(20, fixture.now);
    }
    cr_assert(!caller.account->mayContinue());
    caller.account->onAnswer(false, fixture.now);
    cr_assert_eq(caller.resumes, 1);
    cr_assert(caller.account->mayContinue());
}

// Guards against an accounting leak under a random mix of all events: the total equals the sum over the holders.
Test(CallerLimits, totalEqualsTheSumOverHoldersUnderAMixedCrowd)
{
    LimitSettings settings = smallSettings();
    settings.callerDescriptors = 20;
    Fixture fixture(settings);
    std::mt19937 random(20261207);
    const auto draw
        = [&random](std::size_t most) { return std::uniform_int_distribution<std::size_t>(0, most)(random); };
    fixture.connect();
    for (int step = 0; step < 20000; ++step) {
        if (draw(9) == 0) {
            fixture.connections.erase(std::remove_if(fixture.connections.begin(), fixture.connections.end(),
                                          [](const auto& entry) { return entry->closed || !entry->account; }),
                fixture.connections.end());
            FakeConnection& connection = fixture.connect();
            if (connection.account && draw(2) > 0)
                connection.account->onSession("db" + std::to_string(draw(3)), fixture.now);
        }
        FakeConnection& connection = *fixture.connections[draw(fixture.connections.size() - 1)];
        CallerAccount* account = connection.account.get();
        if (!account)
            continue;
        switch (draw(7)) {
        case 0:
        case 1:
            fixture.receive(connection, draw(kibibyte), draw(mebibyte));
            break;
        case 2:
            account->onStatement(draw(mebibyte), fixture.now);
            account->onMessage(fixture.now);
            break;
        case 3:
            account->onAnswer(draw(3) == 0, fixture.now);
            break;
        case 4:
            account->onUnreadResponses(draw(1) * draw(400 * kibibyte), fixture.now);
            break;
        case 5:
            account->holdSessionState(draw(mebibyte), draw(100), fixture.now);
            break;
        case 6:
            fixture.advance(CallerLimits::tickInterval);
            break;
        default:
            connection.account.reset();
            break;
        }
        fixture.checkSums();
        cr_assert_leq(fixture.limits.held().largeStatements, settings.largeStatementBytes);
        cr_assert_leq(fixture.limits.held().mediumStatements, settings.mediumStatementBytes);
        cr_assert_leq(fixture.limits.held().sessionState, settings.sessionStateBytes);
        cr_assert_leq(fixture.limits.connections(), settings.callerDescriptors);
    }
}

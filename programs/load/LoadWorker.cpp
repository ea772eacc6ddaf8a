#include "LoadWorker.h"

#include <algorithm>
#include <cassert>

namespace almondlever::load {

namespace {

    constexpr Milliseconds tickInterval { 1 };
    constexpr std::size_t recentKeyCount = 1000;
    constexpr Milliseconds firstRepeatDelay { 20 };
    constexpr std::size_t maximumRepeatDoublings = 5;
    /** Writes that a transaction makes: two, or three for every other one. */
    constexpr std::size_t fewestTransactionWrites = 2;

} // namespace

struct LoadWorker::CallerState {
    CallerState(const Workload& workload, const CallerLoad& load, std::uint64_t seed, double share)
        : caller(load)
        , arrivals(workload, load, seed, share)
    {
    }

    const CallerLoad& caller;
    ArrivalSchedule arrivals;
    std::vector<std::unique_ptr<CallerSession>> sessions;
    std::vector<CallerSession*> idle;
    std::size_t inFlight = 0;
    std::size_t maximumInFlight = 0;
};

struct LoadWorker::TransactionRun {
    CallerState& state;
    CallerSession& session;
    /** Copied for each statement of the transaction. */
    OutgoingOperation common;
    std::vector<std::string> keys;
    std::size_t nextKey = 0;
    bool isAbandoned = false;
    bool isRolledBack = false;
    /** Reads the first key back before the end, to see the transaction's own write. */
    bool readsBack = false;
};

LoadWorker::LoadWorker(const Workload& workload, RunContext& run, std::size_t index)
    : workload_(workload)
    , run_(run)
    , index_(index)
    , context_(1)
    , sender_(context_, run)
    , random_(workload.seed * 1000003 + index)
{
    const double share = 1.0 / static_cast<double>(workload.threads);
    for (const CallerLoad& caller : workload.callers) {
        auto state = std::make_unique<CallerState>(workload, caller, random_(), share);
        state->maximumInFlight = std::max<std::size_t>(1, caller.maximumInFlight / workload.threads);
        callers_.push_back(std::move(state));
    }
}

LoadWorker::~LoadWorker() = default;

void LoadWorker::run()
{
    tick();
    // Kept connections hold the loop open until their servers close them, so it ends when the work has ended.
    while (!isFinished())
        context_.run_one();
}

bool LoadWorker::isFinished() const
{
    return std::all_of(callers_.begin(), callers_.end(),
        [](const auto& state) { return !state->arrivals.next() && state->inFlight == 0; });
}

void LoadWorker::tick()
{
    const Duration now = sender_.timers().now() - run_.start;
    bool hasMore = false;
    for (auto& state : callers_) {
        while (state->arrivals.next() && *state->arrivals.next() <= now) {
            startRequest(*state, *state->arrivals.next());
            state->arrivals.advance();
        }
        hasMore = hasMore || state->arrivals.next();
    }
    if (hasMore)
        sender_.timers().callAfter(tickInterval, [this](TimePoint) { tick(); });
}

void LoadWorker::startRequest(CallerState& state, Duration arrival)
{
    CallerSession* session = takeSession(state);
    if (!session) {
        ++unsent_[{ workload_.phaseAt(arrival).name, state.caller.name }];
        return;
    }
    // Counting from the due time keeps a slow client from hiding the wait; a session's requests still follow each
    // other.
    const Microseconds due = std::max(std::chrono::duration_cast<Microseconds>(arrival), session->lastAnsweredAt);
    if (decide(state.caller.lostTokens))
        session->token.clear();
    if (decide(state.caller.transactions))
        return startTransaction(state, *session, due);
    return decide(state.caller.reads) ? startRead(state, *session, due) : startWrite(state, *session, due);
}

CallerSession* LoadWorker::takeSession(CallerState& state)
{
    if (state.inFlight >= state.maximumInFlight)
        return nullptr;
    ++state.inFlight;
    const bool isNewWanted = state.sessions.size() * workload_.threads < state.caller.sessions;
    if (state.idle.empty() || isNewWanted) {
        auto session = std::make_unique<CallerSession>();
        session->name = state.caller.name + '-' + std::to_string(index_) + '-' + std::to_string(state.sessions.size());
        session->caller = &state.caller;
        session->daemon = sender_.chooseDaemon(run_.daemons.size(), random_());
        state.sessions.push_back(std::move(session));
        return state.sessions.back().get();
    }
    std::swap(state.idle[pick(state.idle.size())], state.idle.back());
    CallerSession* session = state.idle.back();
    state.idle.pop_back();
    return session;
}

void LoadWorker::endRequest(CallerState& state, CallerSession& session)
{
    assert(state.inFlight > 0);
    --state.inFlight;
    state.idle.push_back(&session);
}

void LoadWorker::startRead(CallerState& state, CallerSession& session, Microseconds arrival)
{
    OutgoingOperation read = makeOperation(session, OperationType::Read, arrival);
    pickKeyToRead(session, read.operation);
    sendWithRepeats(session, std::move(read), 0,
        [this, &state, &session](const Operation&, const AnswerDetails&) { endRequest(state, session); });
}

void LoadWorker::startWrite(CallerState& state, CallerSession& session, Microseconds arrival)
{
    OutgoingOperation write = makeOperation(session, OperationType::Write, arrival);
    Operation& operation = write.operation;
    operation.database = state.caller.databases[pick(state.caller.databases.size())];
    operation.key = decide(state.caller.sharedKeys) ? sharedKey(state.caller.name, pick(state.caller.sharedKeyCount))
                                                    : privateKey(session, pick(state.caller.privateKeysPerSession));
    operation.value = makeValue(session, operation.key);
    if (decide(state.caller.keyedWrites))
        operation.idempotencyKey = run_.runId + '/' + session.name + '/' + std::to_string(session.valueCount);
    rememberKey(operation);
    sendWithRepeats(session, std::move(write), 0,
        [this, &state, &session](const Operation&, const AnswerDetails&) { endRequest(state, session); });
}

void LoadWorker::startTransaction(CallerState& state, CallerSession& session, Microseconds arrival)
{
    auto run = std::make_shared<TransactionRun>(TransactionRun { state, session, {}, {} });
    run->common = makeOperation(session, OperationType::Begin, arrival);
    Operation& common = run->common.operation;
    common.database = state.caller.databases[pick(state.caller.databases.size())];
    common.transaction = run_.runId + '/' + session.name + "/t" + std::to_string(++session.transactionCount);
    const std::size_t writes = fewestTransactionWrites + pick(2);
    const std::size_t firstKey = pick(state.caller.privateKeysPerSession);
    for (std::size_t number = 0; number < writes; ++number)
        run->keys.push_back(privateKey(session, (firstKey + number) % state.caller.privateKeysPerSession));
    run->isAbandoned = decide(state.caller.abandoned);
    run->isRolledBack = decide(state.caller.rolledBack);
    run->readsBack = decide(0.5);
    sendWithRepeats(session, run->common, 0, [this, run](const Operation& begin, const AnswerDetails& details) {
        if (!begin.isAcknowledged || details.transactionId.empty())
            return endRequest(run->state, run->session);
        run->common.transactionId = details.transactionId;
        run->common.operation.sentAt = Microseconds(0);
        run->common.operation.firstAttempt = 0;
        continueTransaction(run);
    });
}

void LoadWorker::continueTransaction(const std::shared_ptr<TransactionRun>& run)
{
    const bool isReadBack = run->nextKey == run->keys.size() && run->readsBack;
    if (run->nextKey == run->keys.size() && !isReadBack)
        return endTransaction(run);
    OutgoingOperation statement = run->common;
    Operation& operation = statement.operation;
    if (isReadBack) {
        run->readsBack = false;
        operation.type = OperationType::Read;
        operation.key = run->keys.front();
    } else {
        operation.type = OperationType::Write;
        operation.key = run->keys[run->nextKey++];
        operation.value = makeValue(run->session, operation.key);
    }
    statement.sessionToken = run->session.token;
    statement.daemon = decide(run->session.caller->roams) ? sender_.chooseDaemon(run->session.daemon, random_())
                                                          : run->session.daemon;
    sendOnce(run->session, std::move(statement), [this, run](const Operation& answered, const AnswerDetails&) {
        if (answered.isAcknowledged)
            return continueTransaction(run);
        // A statement without a certain outcome makes the whole transaction useless; it is rolled back.
        run->isRolledBack = true;
        endTransaction(run);
    });
}

void LoadWorker::endTransaction(const std::shared_ptr<TransactionRun>& run)
{
    if (run->isAbandoned)
        return endRequest(run->state, run->session);
    OutgoingOperation ending = run->common;
    ending.operation.type = run->isRolledBack ? OperationType::Rollback : OperationType::Commit;
    ending.sessionToken = run->session.token;
    ending.daemon = run->session.daemon;
    const bool isKeyed = !run->isRolledBack && decide(run->session.caller->keyedWrites);
    if (isKeyed)
        ending.operation.idempotencyKey = ending.operation.transaction;
    for (const std::string& key : run->keys)
        rememberKey([&] {
            Operation written = ending.operation;
            written.key = key;
            return written;
        }());
    sendOnce(run->session, std::move(ending),
        [this, run](const Operation&, const AnswerDetails&) { endRequest(run->state, run->session); });
}

void LoadWorker::sendWithRepeats(CallerSession& session, OutgoingOperation outgoing, std::size_t repeats, Done done)
{
    const OutgoingOperation sent = outgoing;
    sendOnce(session, std::move(outgoing),
        [this, &session, sent, repeats, done = std::move(done)](
            const Operation& answered, const AnswerDetails& details) {
            const auto delay = answered.isAcknowledged ? std::nullopt : repeatDelay(answered, repeats);
            if (!delay)
                return done(answered, details);
            OutgoingOperation repeat = sent;
            repeat.operation.firstAttempt = answered.firstAttempt;
            repeat.operation.sentAt = Microseconds(0);
            sender_.timers().callAfter(*delay, [this, &session, repeat, repeats, done](TimePoint) mutable {
                repeat.daemon = sender_.chooseDaemon(repeat.daemon, random_());
                repeat.sessionToken = session.token;
                sendWithRepeats(session, std::move(repeat), repeats + 1, std::move(done));
            });
        });
}

void LoadWorker::sendOnce(CallerSession& session, OutgoingOperation outgoing, Done done)
{
    session.daemon = outgoing.daemon;
    outgoing.operation.phase = workload_.phaseAt(sender_.timers().now() - run_.start).name;
    sender_.send(std::move(outgoing),
        [&session, done = std::move(done)](const Operation& answered, const AnswerDetails& details) {
            session.lastAnsweredAt = answered.answeredAt;
            if (!details.sessionToken.empty())
                session.token = details.sessionToken;
            done(answered, details);
        });
}

std::optional<Milliseconds> LoadWorker::repeatDelay(const Operation& answered, std::size_t repeatsDone)
{
    const CallerLoad& caller = *workload_.findCaller(answered.caller);
    if (repeatsDone >= caller.repeats)
        return std::nullopt;
    const bool isRepeatable = answered.type == OperationType::Read || !answered.idempotencyKey.empty();
    const bool isAllowed
        = answered.outcome == Outcome::NotRun || (answered.outcome == Outcome::Unknown && isRepeatable);
    if (!isAllowed)
        return std::nullopt;
    if (answered.retryAfter.count() > 0)
        return answered.retryAfter + Milliseconds(pick(1 + static_cast<std::size_t>(answered.retryAfter.count()) / 4));
    const auto delay = firstRepeatDelay * (1U << std::min(repeatsDone, maximumRepeatDoublings));
    return delay + Milliseconds(pick(static_cast<std::size_t>(delay.count())));
}

OutgoingOperation LoadWorker::makeOperation(CallerSession& session, OperationType type, Microseconds arrival)
{
    const CallerLoad& caller = *session.caller;
    OutgoingOperation outgoing;
    outgoing.operation.caller = caller.name;
    outgoing.operation.session = session.name;
    outgoing.operation.rank = caller.rank;
    outgoing.operation.type = type;
    outgoing.operation.sentAt = arrival;
    outgoing.operation.readsOwnWrites = caller.readsOwnWrites;
    outgoing.daemon = decide(caller.roams) ? sender_.chooseDaemon(session.daemon, random_()) : session.daemon;
    outgoing.sessionToken = session.token;
    // The daemon's clock starts after the way to it, and its answer still has to come back.
    outgoing.deadline = std::max(Milliseconds(1), caller.deadline - 2 * workload_.clientLatency);
    return outgoing;
}

std::string LoadWorker::makeValue(CallerSession& session, const std::string& key)
{
    return session.name + '#' + std::to_string(++session.valueCount) + '@' + key;
}

std::string LoadWorker::privateKey(const CallerSession& session, std::size_t number) const
{
    return run_.runId + '/' + session.name + '/' + std::to_string(number);
}

std::string LoadWorker::sharedKey(const std::string& caller, std::size_t number) const
{
    return run_.runId + "/shared/" + caller + '/' + std::to_string(number);
}

void LoadWorker::pickKeyToRead(const CallerSession& session, Operation& read)
{
    const CallerLoad& caller = *session.caller;
    read.database = caller.databases[pick(caller.databases.size())];
    if (decide(caller.sharedKeys)) {
        const CallerLoad& owner = workload_.callers[pick(workload_.callers.size())];
        read.key = sharedKey(owner.name, pick(owner.sharedKeyCount));
        return;
    }
    const bool hasOwnKeys = session.valueCount > 0;
    if (recentKeys_.empty() || (hasOwnKeys && decide(0.5))) {
        read.key = privateKey(session, pick(caller.privateKeysPerSession));
        return;
    }
    const auto& [database, key] = recentKeys_[pick(recentKeys_.size())];
    if (std::find(caller.databases.begin(), caller.databases.end(), database) != caller.databases.end())
        read.database = database;
    read.key = key;
}

void LoadWorker::rememberKey(const Operation& operation)
{
    recentKeys_.emplace_back(operation.database, operation.key);
    if (recentKeys_.size() > recentKeyCount)
        recentKeys_.pop_front();
}

bool LoadWorker::decide(double share) { return static_cast<double>(random_() >> 11U) * 0x1.0p-53 < share; }

std::size_t LoadWorker::pick(std::size_t count) { return count == 0 ? 0 : random_() % count; }

} // namespace almondlever::load

#include "almondlever/serving/ServedEndpoint.h"

#include "SentRequests.h"

#include <algorithm>
#include <cassert>

namespace almondlever {

namespace {

    /** Delay before a request that the endpoint refused without effect is tried again. */
    constexpr Milliseconds refusedRetryDelay { 20 };
    constexpr Milliseconds positionRequestTimeout { 400 };
    /** A statement with less time left than this is refused instead of sent, since its outcome might become unknown. */
    constexpr Milliseconds minimumStatementTime { 2 };
    /** Period within which callers may repeat a write with an idempotency key. Until it has served writes for this
     * long, a daemon cannot tell whether an earlier attempt was sent through a former owner or primary. */
    constexpr std::chrono::seconds repeatWindow { 10 };
    /** The primary is reported as failed when a statement has been unanswered for longer than both this and
     * slowReplyFactor times the average latency. */
    constexpr Milliseconds slowReplyThreshold { 100 };
    constexpr int slowReplyFactor = 6;

    EndpointPoolLimits poolLimitsFor(const EndpointDescription& endpoint, const ServingSettings& settings)
    {
        const std::size_t reserved = std::min(settings.controlReserve, endpoint.connections - 1);
        EndpointPoolLimits limits;
        limits.connections = std::min(endpoint.slots, endpoint.connections - reserved);
        limits.opening = std::max<std::size_t>(1, endpoint.slots / 2);
        limits.openTimeout = std::max<Milliseconds>(Milliseconds(500), endpoint.openTime * 10);
        return limits;
    }

    ConcurrencyLimiter::Kind kindOf(const ForwardJob& job)
    {
        if (job.request.kind != ForwardKind::Statement)
            return ConcurrencyLimiter::Kind::Other;
        return job.request.operation == OperationKind::Read ? ConcurrencyLimiter::Kind::Read
                                                            : ConcurrencyLimiter::Kind::Write;
    }

} // namespace

ServedEndpoint::ServedEndpoint(
    ServingContext& context, SnapshotPtr snapshot, const DatabaseId& database, const EndpointDescription& endpoint)
    : context_(context)
    , snapshot_(std::move(snapshot))
    , database_(database)
    , endpoint_(endpoint)
    , control_(context.connector.control(endpoint.address))
    , claim_(*control_, context.timers, snapshot_->self)
    , pool_(context.connector, context.timers, endpoint.address, poolLimitsFor(endpoint, context.settings))
    , scheduler_(context.makeScheduler(snapshot_->configuration->ranks, endpoint.slots))
    , limiter_(endpoint.slots)
    , sentRequests_(std::make_unique<SentRequests>())
    , alive_(std::make_shared<bool>(true))
{
    pool_.onChange([this](TimePoint now) { dispatch(now); });
    claim_.onHeld([this](std::uint64_t epoch, const EndpointStatus& status) {
        updatePosition(status.logEnd, status.staleness);
        servesWritesSince_ = context_.timers.now();
        context_.decisionLog.write("claim",
            { { "database", database_.text() }, { "endpoint", endpoint_.id.text() }, { "epoch", std::to_string(epoch) },
                { "reason", "placement" } });
        pool_.start(epoch);
    });
    const DatabaseDescription* group = snapshot_->configuration->findDatabase(database_);
    assert(group);
    confirmer_ = std::make_unique<CommitConfirmer>(*group, endpoint_.id, context.connector, context.timers);
    claim_.acquire(snapshot_->members, context.timers.now());
}

ServedEndpoint::~ServedEndpoint()
{
    *alive_ = false;
    const TimePoint now = context_.timers.now();
    for (auto& [ticket, job] : queued_)
        refuse(job, ForwardErrorCode::ShuttingDown, Outcome::NotRun, "the daemon stops serving this endpoint", {}, now);
    for (ForwardJob& job : deferred_)
        refuse(job, ForwardErrorCode::ShuttingDown, Outcome::NotRun, "the daemon stops serving this endpoint", {}, now);
    confirmer_.reset();
}

void ServedEndpoint::setSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    snapshot_ = std::move(snapshot);
    claim_.setMembers(snapshot_->members);
    updateServedTerm(now);
    retryDeferred(now);
    redirectQueued(now);
}

bool ServedEndpoint::mayHaveRunBefore(const ForwardJob& job, TimePoint now) const
{
    const bool isKeyedWrite = job.request.kind == ForwardKind::Statement && !job.isRead() && !job.request.isRepeatable;
    if (!isKeyedWrite)
        return false;
    return now < servesWritesSince_ + repeatWindow || sentRequests_->contains(job.request.requestId);
}

void ServedEndpoint::updateServedTerm(TimePoint now)
{
    const PrimaryView* view = primaryView();
    if (!view || view->primary != endpoint_.id || view->term == servedTerm_)
        return;
    servedTerm_ = view->term;
    servesWritesSince_ = now;
}

void ServedEndpoint::redirectQueued(TimePoint now)
{
    std::vector<Ticket> misplaced;
    for (const auto& [ticket, job] : queued_) {
        const Readiness readiness = readinessOf(job, now);
        if (readiness == Readiness::LeavingReplica || (job.needsPrimary() && readiness != Readiness::Ready))
            misplaced.push_back(ticket);
    }
    for (const Ticket ticket : misplaced) {
        const auto found = queued_.find(ticket);
        if (found == queued_.end())
            continue;
        ForwardJob job = std::move(found->second);
        queued_.erase(found);
        scheduler_->cancel(ticket);
        admit(std::move(job), now);
    }
}

const PrimaryView* ServedEndpoint::primaryView() const { return snapshot_->findPrimary(database_); }

bool ServedEndpoint::isPrimaryHere() const
{
    const PrimaryView* view = primaryView();
    return view && view->primary == endpoint_.id;
}

bool ServedEndpoint::isLeavingReplica() const
{
    return snapshot_->leavingEndpoints.count(endpoint_.id) > 0 && primaryView() && !isPrimaryHere();
}

void ServedEndpoint::submit(ForwardJob job, TimePoint now)
{
    if (!job.request.transaction.isEmpty())
        return submitToTransaction(std::move(job), now);
    job.positionWaitEnd = now + std::min<Duration>(context_.settings.positionWaitLimit, (job.deadline - now) / 3);
    admit(std::move(job), now);
}

ServedEndpoint::Readiness ServedEndpoint::readinessOf(const ForwardJob& job, TimePoint now) const
{
    if (isRetired_)
        return Readiness::Retired;
    if (now < job.notBefore)
        return Readiness::Wait;
    if (job.needsPrimary()) {
        const PrimaryView* view = primaryView();
        if (!view || view->primary.isEmpty())
            return Readiness::Wait;
        if (view->primary != endpoint_.id)
            return Readiness::OtherPrimary;
        if (!job.isRead() && snapshot_->pausedWrites.count(database_) > 0)
            return Readiness::Wait;
        // Transactions leave one slot free, so that other statements can run while transactions are idle.
        const std::size_t transactionLimit = std::max<std::size_t>(1, endpoint_.slots - 1);
        if (job.request.kind == ForwardKind::Begin && transactions_.size() >= transactionLimit)
            return Readiness::Wait;
        return Readiness::Ready;
    }
    if (isLeavingReplica())
        return Readiness::LeavingReplica;
    return knownPosition_ < job.request.minimumPosition ? Readiness::Wait : Readiness::Ready;
}

void ServedEndpoint::admit(ForwardJob job, TimePoint now)
{
    switch (readinessOf(job, now)) {
    case Readiness::Retired:
        return refuse(
            job, ForwardErrorCode::NotOwner, Outcome::NotRun, "the endpoint moved to another daemon", {}, now);
    case Readiness::OtherPrimary:
        return refuse(job, ForwardErrorCode::NotPrimary, Outcome::NotRun, "another endpoint is the primary", {}, now);
    case Readiness::LeavingReplica:
        return refuse(job, ForwardErrorCode::Behind, Outcome::NotRun, "the endpoint is leaving", {}, now);
    case Readiness::Wait:
        return defer(std::move(job), now);
    case Readiness::Ready:
        return enqueue(std::move(job), now);
    }
}

void ServedEndpoint::defer(ForwardJob job, TimePoint now)
{
    const std::size_t rank = job.request.rank;
    const auto deferredCount = static_cast<std::size_t>(std::count_if(
        deferred_.begin(), deferred_.end(), [rank](const ForwardJob& other) { return other.request.rank == rank; }));
    if (deferredCount >= snapshot_->configuration->ranks[rank].queueRequests)
        return refuse(job, ForwardErrorCode::Overloaded, Outcome::NotRun,
            "too many requests wait for the primary or a position", Milliseconds(200), now);
    deferred_.push_back(std::move(job));
    requestPosition(now);
}

void ServedEndpoint::enqueue(ForwardJob job, TimePoint now)
{
    if (job.isRead() && pool_.isUnreachable())
        return refuse(
            job, ForwardErrorCode::EndpointUnavailable, Outcome::NotRun, "the endpoint cannot be reached", {}, now);
    const Ticket ticket = context_.nextNumber();
    job.queued = { ticket, job.request.caller, job.request.rank, job.bytes(), job.arrival, job.deadline };
    if (const auto refusal = scheduler_->offer(job.queued, now)) {
        const bool isFull = refusal->reason == Refusal::Reason::QueueFull;
        refuse(job, ForwardErrorCode::Overloaded, Outcome::NotRun,
            isFull ? "the queue of this rank is full" : "the queue is longer than the deadline", refusal->retryAfter,
            now);
        return expireQueued(now);
    }
    queued_.emplace(ticket, std::move(job));
    dispatch(now);
}

std::size_t ServedEndpoint::usableSlots(TimePoint now) const
{
    const std::size_t slots = limiter_.slots(now);
    if (slots == 0)
        return 0;
    // At least one slot more than there are open transactions, even above a reduced limit. Otherwise idle transactions
    // could occupy all slots, and statements would wait for them to end.
    return std::max(slots, std::min(endpoint_.slots, transactions_.size() + 1));
}

void ServedEndpoint::dispatch(TimePoint now)
{
    if (!claim_.isHeld())
        return;
    scheduler_->setSlots(usableSlots(now));
    while (scheduler_->size() > 0 && running_ < usableSlots(now)) {
        const auto connection = pool_.acquireConnection();
        if (!connection)
            break;
        const auto taken = scheduler_->take(now);
        if (!taken) {
            pool_.returnConnection(connection);
            break;
        }
        const auto found = queued_.find(taken->ticket);
        assert(found != queued_.end());
        ForwardJob job = std::move(found->second);
        queued_.erase(found);
        run(std::move(job), connection, now);
    }
    expireQueued(now);
}

EndpointStatement ServedEndpoint::statementFor(const ForwardJob& job) const
{
    EndpointStatement statement;
    statement.requestId = job.request.requestId;
    statement.kind = job.request.operation;
    statement.key = job.request.key;
    statement.value = job.request.value;
    statement.claimEpoch = claim_.epoch();
    const PrimaryView* view = primaryView();
    if (!job.isRead() && view)
        statement.term = view->term;
    statement.minimumPosition = job.request.minimumPosition;
    statement.maximumStaleness = job.request.maximumStaleness;
    return statement;
}

void ServedEndpoint::run(ForwardJob job, const EndpointPool::ConnectionPtr& connection, TimePoint now)
{
    ++running_;
    const Readiness readiness = readinessOf(job, now);
    const bool hasTime = now + minimumStatementTime <= job.deadline;
    if (readiness != Readiness::Ready || !hasTime) {
        pool_.returnConnection(connection);
        releaseSlot(job.queued, Duration::zero(), now);
        if (!hasTime)
            return refuse(job, ForwardErrorCode::DeadlineExceeded, Outcome::NotRun, "the deadline passed in the queue",
                Milliseconds(200), now);
        return admit(std::move(job), now);
    }
    const bool isWrite = !job.isRead();
    runningWrites_ += isWrite ? 1 : 0;
    sentTimes_.insert(now);
    if (isWrite && !job.request.isRepeatable)
        sentRequests_->add(job.request.requestId, now);
    const EndpointStatement statement = statementFor(job);
    const Duration timeout = job.deadline - now;
    const ForwardKind kind = job.request.kind;
    const auto shared = std::make_shared<ForwardJob>(std::move(job));
    auto callback = [this, alive = alive_, shared, connection, now](const EndpointResult<EndpointReply>& result) {
        if (!*alive)
            return connection->close();
        onReply(std::move(*shared), connection, result, now, context_.timers.now());
    };
    if (kind == ForwardKind::Begin)
        return connection->begin(statement, timeout, std::move(callback));
    connection->execute(statement, timeout, std::move(callback));
}

void ServedEndpoint::finishSlot(const QueuedRequest& request, Duration slotTime, TimePoint now)
{
    assert(running_ > 0);
    --running_;
    scheduler_->finish(request, slotTime, now);
}

void ServedEndpoint::releaseSlot(const QueuedRequest& request, Duration slotTime, TimePoint now)
{
    assert(running_ > 0);
    --running_;
    scheduler_->release(request, slotTime, now);
}

void ServedEndpoint::updatePosition(LogPosition position, Milliseconds staleness)
{
    knownPosition_ = std::max(knownPosition_, position);
    knownStaleness_ = staleness;
}

void ServedEndpoint::onReply(ForwardJob job, const EndpointPool::ConnectionPtr& connection,
    const EndpointResult<EndpointReply>& result, TimePoint sentAt, TimePoint now)
{
    const bool isWrite = !job.isRead();
    runningWrites_ -= isWrite ? 1 : 0;
    sentTimes_.erase(sentTimes_.find(sentAt));
    if (result)
        averageLatency_ += ((now - sentAt) - averageLatency_) / 16;
    if (result && job.request.kind == ForwardKind::Begin) {
        Transaction transaction { connection, job.queued, job.request.caller, primaryView() ? primaryView()->term : 0,
            now, now };
        const TransactionId id(snapshot_->self.text() + '.' + std::to_string(context_.nextNumber()));
        transactions_.emplace(id, std::move(transaction));
        if (now >= job.deadline) {
            // The caller no longer waits for the transaction id, so the slot would stay occupied until the idle limit.
            endTransaction(id, false, now);
            return refuse(job, ForwardErrorCode::DeadlineExceeded, Outcome::NotRun,
                "the transaction began after the deadline and was rolled back", Milliseconds(200), now);
        }
        return reply(job, { {}, std::nullopt, id, false, false, {} }, now);
    }
    pool_.returnConnection(connection);
    if (result) {
        finishSlot(job.queued, now - sentAt, now);
        limiter_.addSuccess(kindOf(job), now - sentAt, now);
        updatePosition(result.value().position, result.value().staleness);
        confirm(std::move(job), result.value(), sentAt, now);
    } else {
        releaseSlot(job.queued, now - sentAt, now);
        onStatementError(std::move(job), result.error(), now);
    }
    dispatch(now);
}

void ServedEndpoint::onStatementError(ForwardJob job, const EndpointError& error, TimePoint now)
{
    using Code = EndpointErrorCode;
    if (error.outcome == Outcome::NotRun && !job.isRead() && !job.request.isRepeatable)
        sentRequests_->remove(job.request.requestId);
    if (error.code == Code::ConnectionLost || error.code == Code::TimedOut || error.code == Code::Busy)
        limiter_.addFailure(now);
    if (error.code == Code::ConnectionLost || error.code == Code::TimedOut || error.code == Code::NotPrimary)
        context_.primaryListener.primaryFailed(database_, endpoint_.id);
    if (error.code == Code::ClaimLost)
        claim_.onLost(now);
    if (error.outcome != Outcome::NotRun)
        return refuse(job, ForwardErrorCode::EndpointUnavailable, Outcome::Unknown, error.detail, {}, now);
    switch (error.code) {
    case Code::Behind:
        if (now < job.positionWaitEnd) {
            job.notBefore = now + refusedRetryDelay;
            return defer(std::move(job), now);
        }
        return refuse(
            job, ForwardErrorCode::Behind, Outcome::NotRun, "the replica has not reached the position", {}, now);
    case Code::TooStale:
        return refuse(job, ForwardErrorCode::Behind, Outcome::NotRun, "the replica is too stale", {}, now);
    case Code::Rejected:
        return refuse(job, ForwardErrorCode::Rejected, Outcome::NotRun, error.detail, {}, now);
    case Code::NotPrimary:
    case Code::ClaimLost:
    case Code::Busy:
        job.notBefore = now + refusedRetryDelay;
        return defer(std::move(job), now);
    default:
        break;
    }
    if (job.isRead())
        return refuse(job, ForwardErrorCode::EndpointUnavailable, Outcome::NotRun, error.detail, {}, now);
    job.notBefore = now + refusedRetryDelay;
    defer(std::move(job), now);
}

void ServedEndpoint::confirm(ForwardJob job, const EndpointReply& answer, TimePoint sentAt, TimePoint now)
{
    ForwardSuccess success { answer.position, answer.value, TransactionId(), answer.isDuplicate,
        answer.role == EndpointRole::Replica, answer.staleness };
    if (answer.role == EndpointRole::Replica)
        return reply(job, std::move(success), now);
    const PrimaryView* view = primaryView();
    if (!view || view->primary != endpoint_.id)
        return refuse(job, ForwardErrorCode::NotConfirmed, job.isRead() ? Outcome::NotRun : Outcome::Unknown,
            "the primary changed before the answer was confirmed", {}, now);
    context_.primaryListener.primaryAnswered(database_, endpoint_.id, view->term);
    // The write that a duplicate repeats may be of an earlier term; it is committed once any entry of the current term
    // is confirmed.
    const bool isOfEarlierTerm = answer.isDuplicate && answer.position.term < view->term;
    const LogPosition awaited = isOfEarlierTerm ? LogPosition { view->term, 0 } : answer.position;
    const TimePoint deadline = job.deadline;
    const bool isRead = job.isRead();
    const auto shared = std::make_shared<ForwardJob>(std::move(job));
    auto callback = [this, alive = alive_, shared, success](Confirmation::Verdict verdict, TimePoint later) {
        if (verdict == Confirmation::Verdict::Confirmed)
            return reply(*shared, success, later);
        const bool isSuperseded = verdict == Confirmation::Verdict::Superseded;
        refuse(*shared, ForwardErrorCode::NotConfirmed, shared->isRead() ? Outcome::NotRun : Outcome::Unknown,
            isSuperseded ? "the primary was superseded" : "no majority confirmed in time", {}, later);
    };
    if (isRead)
        return confirmer_->awaitLeadership(answer.position, sentAt, deadline, now, std::move(callback));
    confirmer_->awaitPosition(awaited, deadline, now, std::move(callback));
}

void ServedEndpoint::retryDeferred(TimePoint now)
{
    std::list<ForwardJob> deferred;
    deferred.swap(deferred_);
    for (ForwardJob& job : deferred) {
        if (now >= job.deadline) {
            refuse(job, ForwardErrorCode::DeadlineExceeded, Outcome::NotRun,
                "the deadline passed while the request waited", Milliseconds(500), now);
            continue;
        }
        const bool isPositionWait = !job.needsPrimary() && now >= job.positionWaitEnd;
        if (isPositionWait) {
            refuse(job, ForwardErrorCode::Behind, Outcome::NotRun, "the replica has not reached the position", {}, now);
            continue;
        }
        if (readinessOf(job, now) == Readiness::Wait)
            deferred_.push_back(std::move(job));
        else
            admit(std::move(job), now);
    }
}

void ServedEndpoint::expireQueued(TimePoint now)
{
    for (const QueuedRequest& expired : scheduler_->removeExpired(now)) {
        const auto found = queued_.find(expired.ticket);
        if (found == queued_.end())
            continue;
        ForwardJob job = std::move(found->second);
        queued_.erase(found);
        const Milliseconds wait = std::chrono::duration_cast<Milliseconds>(scheduler_->expectedWait(expired.rank, now));
        refuse(job, ForwardErrorCode::DeadlineExceeded, Outcome::NotRun, "the queue is longer than the deadline",
            std::max(wait, Milliseconds(100)), now);
    }
}

void ServedEndpoint::refuseReadsIfUnreachable(TimePoint now)
{
    if (!pool_.isUnreachable() || queued_.empty())
        return;
    std::vector<Ticket> reads;
    for (const auto& [ticket, job] : queued_) {
        if (job.isRead())
            reads.push_back(ticket);
    }
    for (const Ticket ticket : reads) {
        ForwardJob job = std::move(queued_[ticket]);
        queued_.erase(ticket);
        scheduler_->cancel(ticket);
        refuse(job, ForwardErrorCode::EndpointUnavailable, Outcome::NotRun, "the endpoint cannot be reached", {}, now);
    }
}

void ServedEndpoint::requestPosition(TimePoint now)
{
    if (isPositionRequested_ || isRetired_)
        return;
    const ForwardJob* first = nullptr;
    for (const ForwardJob& job : deferred_) {
        const bool isWaiting = !job.needsPrimary() && knownPosition_ < job.request.minimumPosition;
        if (isWaiting && (!first || job.request.minimumPosition < first->request.minimumPosition))
            first = &job;
    }
    if (!first)
        return;
    isPositionRequested_ = true;
    const auto wait = std::chrono::duration_cast<Milliseconds>(
        std::max<Duration>(first->positionWaitEnd - now, Duration::zero()) + Milliseconds(1));
    control_->waitForPosition(first->request.minimumPosition, wait, wait + positionRequestTimeout,
        [this, alive = alive_](const EndpointResult<EndpointStatus>& status) {
            if (!*alive)
                return;
            isPositionRequested_ = false;
            if (status)
                updatePosition(status.value().logEnd, status.value().staleness);
            retryDeferred(context_.timers.now());
        });
}

void ServedEndpoint::reportPausedWrites()
{
    const bool isPaused = snapshot_->pausedWrites.count(database_) > 0;
    if (isPaused && isPrimaryHere() && runningWrites_ == 0 && transactions_.empty() && confirmer_->waitingCount() == 0)
        context_.primaryListener.writesPaused(database_, endpoint_.id, knownPosition_);
}

void ServedEndpoint::reportSlowPrimary(TimePoint now)
{
    if (sentTimes_.empty() || !isPrimaryHere())
        return;
    if (now - *sentTimes_.begin() > std::max<Duration>(slowReplyThreshold, averageLatency_ * slowReplyFactor))
        context_.primaryListener.primaryFailed(database_, endpoint_.id);
}

void ServedEndpoint::onTick(TimePoint now)
{
    claim_.onTick(now);
    confirmer_->onTick(now);
    endIdleTransactions(now);
    retryDeferred(now);
    refuseReadsIfUnreachable(now);
    reportPausedWrites();
    reportSlowPrimary(now);
    dispatch(now);
    if (isRetired_ && !isClaimReleased_ && running_ == transactions_.size() && confirmer_->waitingCount() == 0) {
        isClaimReleased_ = true;
        pool_.stop();
        claim_.release();
    }
}

void ServedEndpoint::retire(TimePoint now)
{
    if (isRetired_)
        return;
    isRetired_ = true;
    context_.decisionLog.write(
        "retire", { { "database", database_.text() }, { "endpoint", endpoint_.id.text() }, { "reason", "placement" } });
    std::vector<ForwardJob> waiting;
    for (auto& [ticket, job] : queued_) {
        scheduler_->cancel(ticket);
        waiting.push_back(std::move(job));
    }
    queued_.clear();
    for (ForwardJob& job : deferred_)
        waiting.push_back(std::move(job));
    deferred_.clear();
    for (ForwardJob& job : waiting)
        refuse(job, ForwardErrorCode::NotOwner, Outcome::NotRun, "the endpoint moved to another daemon", {}, now);
}

bool ServedEndpoint::isDone() const
{
    // A transaction may commit after the claim was released, and its confirmation must still reach the caller.
    return isClaimReleased_ && claim_.isIdle() && running_ == 0 && transactions_.empty()
        && confirmer_->waitingCount() == 0;
}

std::size_t ServedEndpoint::queuedCount() const { return queued_.size() + deferred_.size(); }

ForwardReply ServedEndpoint::makeReply(const ForwardJob& job, TimePoint now) const
{
    ForwardReply answer;
    answer.correlation = job.request.correlation;
    const std::size_t ranks = snapshot_->configuration->ranks.size();
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer.expectedWait.push_back(std::chrono::duration_cast<Milliseconds>(scheduler_->expectedWait(rank, now)));
    answer.endpointPosition = knownPosition_;
    answer.endpointStaleness = knownStaleness_;
    return answer;
}

void ServedEndpoint::reply(ForwardJob& job, ForwardSuccess success, TimePoint now)
{
    ForwardReply answer = makeReply(job, now);
    answer.result = std::move(success);
    job.callback(std::move(answer), now);
}

void ServedEndpoint::refuse(
    ForwardJob& job, ForwardErrorCode code, Outcome outcome, std::string detail, Milliseconds retryAfter, TimePoint now)
{
    ForwardReply answer = makeReply(job, now);
    // The entry daemon passes these refusals of a write on to the caller. After other refusals it may route the request
    // again, so the request may still run and its outcome is not decided here.
    const bool isFinal = code == ForwardErrorCode::Overloaded || code == ForwardErrorCode::DeadlineExceeded;
    if (isFinal && mayHaveRunBefore(job, now))
        outcome = Outcome::Unknown;
    ForwardError error { code, outcome, std::move(detail), retryAfter, {} };
    if (const PrimaryView* view = primaryView())
        error.primary = *view;
    answer.result = std::move(error);
    job.callback(std::move(answer), now);
}

} // namespace almondlever

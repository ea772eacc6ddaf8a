#include "DispatcherState.h"

#include <algorithm>
#include <cassert>

namespace almondlever {

namespace {

    /** True if the statement commits its transaction. */
    bool isCommit(const StatementRequest& request) { return request.statement.kind == StatementKind::Commit; }

    /** True if a successful reply acknowledges a write, which replicas have then received. */
    bool acknowledgesWrite(const StatementRequest& request, bool isInTransaction)
    {
        return request.isWrite && (isCommit(request) || (!isInTransaction && !request.opensTransaction));
    }

    EndpointCommand makeForward(const StatementRequest& request, const LinkContents& contents)
    {
        EndpointCommand command;
        command.id = request.statement.id;
        command.text = request.statement.text;
        command.endsTransaction = isCommit(request);
        if (request.statement.kind != StatementKind::Execute)
            return command;
        const auto prepared = request.contents->prepared.find(request.statement.name);
        assert(prepared != request.contents->prepared.end());
        command.kind = EndpointCommand::Kind::ForwardPrepared;
        const std::string* name = contents.nameOf(prepared->second);
        assert(name);
        command.name = *name;
        command.argument = request.statement.argument;
        return command;
    }

} // namespace

Ticket DispatcherState::submitInTransaction(const std::shared_ptr<LinkTransaction>& transaction,
    StatementRequest request, StatementCallback callback, TimePoint now)
{
    checkSuspension(now);
    const Ticket ticket = ++lastTicket_;
    request.rank = std::min(request.rank, ranks_.size() - 1);
    PendingStatement pending;
    pending.request = std::move(request);
    pending.callback = std::move(callback);
    pending_.emplace(ticket, std::move(pending));
    runInTransaction(ticket, transaction, now);
    return ticket;
}

void DispatcherState::runInTransaction(
    Ticket ticket, const std::shared_ptr<LinkTransaction>& transaction, TimePoint now)
{
    const std::shared_ptr<PooledLink>& link = transaction->link();
    if (transaction->hasEnded() || link->state() != PooledLink::State::InTransaction) {
        StatementResult result;
        result.endpoint = link->endpoint();
        result.reply.error = StatementError::Aborted;
        result.reply.detail = "the transaction is not open any more";
        return finish(ticket, std::move(result), now);
    }
    const PendingStatement& added = pending_.at(ticket);
    if (added.request.isWrite && !isCommit(added.request)
        && areWritesBlocked(queuesOf(added.request.group), added.request.group, now)) {
        // The commit would wait for a replica until it times out, and its outcome would be unknown to the caller.
        logOutcome(added.request, "refuse", link->endpoint(), "not_run", "no_replica", now);
        StatementResult result;
        result.endpoint = link->endpoint();
        result.reply.error = StatementError::Aborted;
        result.reply.detail = "no replica receives commits at present";
        finish(ticket, std::move(result), now);
        return rollBack(link, now);
    }
    StatementRun run;
    run.link = link;
    run.isInTransaction = true;
    run.isReadWrite = transaction->isReadWrite();
    startRun(ticket, std::move(run), now);
}

bool DispatcherState::runAt(EndpointLinks& links, Ticket ticket, StatementRun run, TimePoint now)
{
    const StatementRequest& request = pending_.at(ticket).request;
    run.link = links.findIdle(*request.contents, request.customer);
    if (!run.link) {
        run.link = openLinkFor(links, request.customer, now);
        run.isOpening = true;
    }
    if (!run.link)
        return false;
    startRun(ticket, std::move(run), now);
    return true;
}

void DispatcherState::startRun(Ticket ticket, StatementRun run, TimePoint now)
{
    ++pending_.at(ticket).attempts;
    run.startedAt = now;
    linksOf(run.link->endpoint()).noteStarted();
    const bool isOpening = run.isOpening;
    runs_.emplace(ticket, std::move(run));
    if (!isOpening)
        setUp(ticket, now);
}

void DispatcherState::onRunLinkOpened(const PooledLink& link, TimePoint now)
{
    const auto found = std::find_if(runs_.begin(), runs_.end(),
        [&link](const auto& entry) { return entry.second.isOpening && entry.second.link.get() == &link; });
    if (found == runs_.end())
        return;
    const Ticket ticket = found->first;
    found->second.isOpening = false;
    if (pending_.at(ticket).callback)
        return setUp(ticket, now);
    // The caller disconnected in the meantime; the connection stays for others.
    removeRun(ticket, now, false);
    pending_.erase(ticket);
}

void DispatcherState::onRunLinkFailed(const PooledLink& link, TimePoint now)
{
    const auto found = std::find_if(runs_.begin(), runs_.end(),
        [&link](const auto& entry) { return entry.second.isOpening && entry.second.link.get() == &link; });
    if (found != runs_.end())
        onConnectionLost(found->first, "the connection could not be opened", now);
}

void DispatcherState::setUp(Ticket ticket, TimePoint now)
{
    StatementRun& run = runs_.at(ticket);
    const StatementRequest& request = pending_.at(ticket).request;
    const std::shared_ptr<PooledLink> link = run.link;
    link->setState(PooledLink::State::Busy, now);
    run.displacementsBefore = link->displacements();
    std::vector<EndpointCommand> commands
        = link->contents().prepareFor(*request.contents, request.statement, run.isInTransaction);
    if (request.opensTransaction || run.usesGuardTransaction) {
        EndpointCommand begin;
        // An endpoint that is no longer the primary refuses to begin a transaction unless it is read-only.
        const bool isOnReplica = request.opensTransaction && !run.fromPrimaryQueue;
        begin.kind = isOnReplica ? EndpointCommand::Kind::BeginReadOnly : EndpointCommand::Kind::Begin;
        if (isOnReplica)
            begin.after = run.after;
        run.beginAfter = begin.after;
        commands.push_back(begin);
        run.after.reset();
    }
    run.setupLeft = commands.size();
    if (commands.empty())
        return forward(ticket, now);
    for (const EndpointCommand& command : commands) {
        link->send(
            command,
            [this, ticket, kind = command.kind, sentAt = now](
                const Reply* reply, TimePoint at) { onSetupReply(ticket, kind, sentAt, reply, at); },
            now);
        // Sending fails at once if the endpoint takes no more bytes.
        if (link->state() == PooledLink::State::Closed)
            return;
    }
}

void DispatcherState::onSetupReply(
    Ticket ticket, const EndpointCommand::Kind& kind, TimePoint sentAt, const Reply* reply, TimePoint now)
{
    const auto found = runs_.find(ticket);
    if (found == runs_.end())
        return;
    StatementRun& run = found->second;
    if (!reply)
        return onConnectionLost(ticket, "connection lost before the statement was sent", now);
    if (reply->error) {
        if (kind == EndpointCommand::Kind::Begin || kind == EndpointCommand::Kind::BeginReadOnly)
            return retryElsewhere(ticket, *reply, now);
        const std::shared_ptr<PooledLink> link = run.link;
        onConnectionLost(ticket, "the endpoint refused a session value or prepared statement", now);
        return link->close("session state refused", now);
    }
    const bool isBegin = kind == EndpointCommand::Kind::Begin || kind == EndpointCommand::Kind::BeginReadOnly;
    if (isBegin && run.link->isLastAnswerLikely() && !run.isBeginRepeated)
        return repeatBegin(ticket, kind, now);
    if (kind == EndpointCommand::Kind::Begin) {
        run.beginPosition = reply->position;
        run.beginSentAt = sentAt;
    }
    assert(run.setupLeft > 0);
    if (--run.setupLeft == 0)
        forward(ticket, now);
}

void DispatcherState::repeatBegin(Ticket ticket, EndpointCommand::Kind kind, TimePoint now)
{
    StatementRun& run = runs_.at(ticket);
    run.isBeginRepeated = true;
    metrics_.count("almondlever_begins_repeated_total", "");
    run.displacementsBefore = run.link->displacements();
    EndpointCommand command;
    // The answer to BEGIN completes the set-up, whose last command it stays.
    ++run.setupLeft;
    for (const EndpointCommand::Kind next : { EndpointCommand::Kind::Rollback, kind }) {
        const std::shared_ptr<PooledLink> link = run.link;
        command.kind = next;
        if (next == EndpointCommand::Kind::BeginReadOnly)
            command.after = run.beginAfter;
        link->send(
            command,
            [this, ticket, next, sentAt = now](
                const Reply* reply, TimePoint at) { onSetupReply(ticket, next, sentAt, reply, at); },
            now);
        if (link->state() == PooledLink::State::Closed)
            return;
    }
}

void DispatcherState::forward(Ticket ticket, TimePoint now)
{
    StatementRun& run = runs_.at(ticket);
    if (mustHold(run, pending_.at(ticket).request))
        return postpone(ticket, now);
    EndpointCommand command = makeForward(pending_.at(ticket).request, run.link->contents());
    command.after = run.after;
    run.isForwarded = true;
    run.forwardedAt = now;
    run.link->send(
        command, [this, ticket](const Reply* reply, TimePoint at) { onForwardReply(ticket, reply, at); }, now);
}

void DispatcherState::onForwardReply(Ticket ticket, const Reply* reply, TimePoint now)
{
    if (runs_.count(ticket) == 0)
        return;
    if (!reply)
        return onConnectionLost(ticket, "connection lost while the statement ran", now);
    const StatementRun& run = runs_.at(ticket);
    const StatementRequest& request = pending_.at(ticket).request;
    const bool needsTransaction
        = (run.isInTransaction || request.opensTransaction || run.usesGuardTransaction) && !isCommit(request);
    if (!reply->error && needsTransaction && reply->state != TransactionState::Open)
        return loseTransaction(ticket, now);
    if (!reply->error)
        return succeed(ticket, *reply, now);
    const StatementError error = *reply->error;
    noteRefusal(run.link->endpoint(), error, now);
    if (capacity_)
        capacity_->noteError(request, run.isInTransaction, run.link->endpoint(), error, now);
    if (guaranteesNoEffect(error) && !run.isInTransaction)
        return retryElsewhere(ticket, *reply, now);
    completeWithError(ticket, *reply, now);
}

void DispatcherState::loseTransaction(Ticket ticket, TimePoint now)
{
    const std::string reason = "the endpoint ended the transaction";
    const StatementRun& run = runs_.at(ticket);
    const std::shared_ptr<PooledLink> link = run.link;
    if (run.usesGuardTransaction) {
        // The read may have missed a commit.
        onConnectionLost(ticket, reason, now);
        return link->close(reason, now);
    }
    link->close(reason, now);
    Reply reply;
    reply.error = StatementError::Aborted;
    reply.detail = reason;
    reply.state = TransactionState::Failed;
    completeWithError(ticket, std::move(reply), now);
}

void DispatcherState::noteRefusal(const EndpointId& endpoint, StatementError error, TimePoint now)
{
    if (error == StatementError::ReadOnly)
        directory_.noteNotLeading(endpoint);
    if (error == StatementError::Lagging)
        linksOf(endpoint).noteLagging(now);
    if (error == StatementError::Busy)
        linksOf(endpoint).noteBusy(now);
}

StatementRun DispatcherState::removeRun(Ticket ticket, TimePoint now, bool isStatement)
{
    const auto found = runs_.find(ticket);
    assert(found != runs_.end());
    StatementRun run = std::move(found->second);
    runs_.erase(found);
    const bool isAnswer = isStatement && run.isForwarded;
    linksOf(run.link->endpoint())
        .noteEnded(isAnswer ? std::optional<Duration>(now - run.forwardedAt) : std::nullopt, now);
    if (!run.queued)
        return run;
    GroupQueues& queues = queuesOf(pending_.at(ticket).request.group);
    RankScheduler& queue = run.fromPrimaryQueue ? queues.primaryQueue : queues.readQueue;
    if (isStatement)
        queue.finish(*run.queued, now - run.startedAt, now);
    else
        queue.release(*run.queued, now - run.startedAt, now);
    return run;
}

void DispatcherState::noteCapacityAnswer(Ticket ticket, TimePoint now)
{
    if (!capacity_)
        return;
    const StatementRun& run = runs_.at(ticket);
    const EndpointId endpoint = run.link->endpoint();
    capacity_->noteAnswer(pending_.at(ticket).request, run.isInTransaction, endpoint, now - run.forwardedAt,
        linksOf(endpoint).running(), now);
}

void DispatcherState::succeed(Ticket ticket, const Reply& reply, TimePoint now)
{
    noteCapacityAnswer(ticket, now);
    const StatementRun run = removeRun(ticket, now, true);
    const StatementRequest request = pending_.at(ticket).request;
    // Only a primary acknowledges a write or runs a read-write transaction.
    const bool provesPrimary = request.isWrite || run.usesGuardTransaction;
    // The statement's signature proves that its transaction was begun.
    if (run.beginPosition && run.link->displacements() == run.displacementsBefore)
        noteLeading(request.group, run.link->endpoint(), *run.beginPosition, run.beginSentAt);
    if (provesPrimary && reply.position)
        noteLeading(request.group, run.link->endpoint(), *reply.position, run.forwardedAt);
    StatementResult result;
    result.reply = reply;
    result.endpoint = run.link->endpoint();
    result.attempts = pending_.at(ticket).attempts;
    GroupQueues& queues = queuesOf(request.group);
    const bool wasSentBeforeHoldEnded = queues.holdEndedAt && run.forwardedAt < *queues.holdEndedAt;
    const bool mustWait = isHeld(request.group);
    // A former primary may still acknowledge what the present one lacks.
    const EndpointEntry* primary = directory_.primaryOf(request.group);
    const bool isOfFormerTerm = reply.position && reply.position->term < directory_.newestTermOf(request.group)
        && (!primary || primary->id != run.link->endpoint());
    if (acknowledgesWrite(request, run.isInTransaction) && (mustWait || wasSentBeforeHoldEnded || isOfFormerTerm)) {
        const Term term = reply.position ? reply.position->term : directory_.newestTermOf(request.group);
        const bool isSafe = isSafeAfterHold(request.group, result.endpoint, term);
        HeldAnswer answer { std::move(result), term };
        if (mustWait)
            holdAnswer(ticket, std::move(answer), now);
        else
            passOn(ticket, std::move(answer), isSafe, "the primary changed before its answer came", now);
        returnToPool(run.link, reply.state, now);
        return dispatch(request.group, now);
    }
    if (acknowledgesWrite(request, run.isInTransaction) && reply.position)
        queues.writes.noteAcknowledged(*reply.position);
    const bool keepsTransaction = (request.opensTransaction || run.isInTransaction)
        && reply.state == TransactionState::Open && !isCommit(request);
    if (keepsTransaction) {
        run.link->setState(PooledLink::State::InTransaction, now);
        result.transaction = std::make_shared<LinkTransaction>(run.link, run.isReadWrite || run.fromPrimaryQueue);
    }
    logOutcome(request, "serve", result.endpoint, "ok",
        run.usesGuardTransaction ? "primary_read" : toText(request.statement.kind), now);
    finish(ticket, std::move(result), now);
    if (!keepsTransaction)
        returnToPool(run.link, reply.state, now);
    dispatch(request.group, now);
}

void DispatcherState::completeWithError(Ticket ticket, Reply reply, TimePoint now)
{
    const StatementRun run = removeRun(ticket, now, true);
    const StatementRequest request = pending_.at(ticket).request;
    StatementResult result;
    result.reply = std::move(reply);
    result.endpoint = run.link->endpoint();
    result.attempts = pending_.at(ticket).attempts;
    const TransactionState state = result.reply.state;
    const StatementError error = *result.reply.error;
    logOutcome(request, "fail", result.endpoint, guaranteesNoEffect(error) ? "not_run" : "run", toText(error), now);
    metrics_.count("almondlever_endpoint_errors_total", std::string("error=\"") + toText(error) + '"');
    finish(ticket, std::move(result), now);
    returnToPool(run.link, state, now);
    dispatch(request.group, now);
}

void DispatcherState::returnToPool(const std::shared_ptr<PooledLink>& link, TransactionState state, TimePoint now)
{
    if (link->state() == PooledLink::State::Closed)
        return;
    if (state != TransactionState::None)
        return rollBack(link, now);
    link->setState(PooledLink::State::Idle, now);
}

void DispatcherState::rollBack(const std::shared_ptr<PooledLink>& link, TimePoint now, RollbackCallback onRolledBack)
{
    const auto finish = [onRolledBack = std::move(onRolledBack)](TimePoint at) {
        if (onRolledBack)
            onRolledBack(at);
    };
    if (link->state() == PooledLink::State::Closed)
        return finish(now);
    link->setState(PooledLink::State::Busy, now);
    EndpointCommand rollback;
    rollback.kind = EndpointCommand::Kind::Rollback;
    link->send(
        rollback,
        [this, link, finish](const Reply* reply, TimePoint at) {
            if (!reply)
                return finish(at);
            if (reply->error || reply->state != TransactionState::None) {
                link->close("rollback refused", at);
                return finish(at);
            }
            link->setState(PooledLink::State::Idle, at);
            finish(at);
            if (const EndpointEntry* entry = directory_.find(link->endpoint()))
                dispatch(entry->group, at);
        },
        now);
}

void DispatcherState::endTransaction(const std::shared_ptr<LinkTransaction>& transaction, TimePoint now)
{
    if (transaction->hasEnded())
        return;
    const std::shared_ptr<PooledLink>& link = transaction->link();
    if (link->state() == PooledLink::State::InTransaction)
        return rollBack(link, now);
    link->close("transaction ended while a statement ran", now);
}

void DispatcherState::retryElsewhere(Ticket ticket, const Reply& reply, TimePoint now)
{
    const StatementError error = *reply.error;
    const bool isForwarded = runs_.at(ticket).isForwarded;
    const StatementRun run = removeRun(ticket, now, false);
    PendingStatement& pending = pending_.at(ticket);
    const StatementRequest& request = pending.request;
    const EndpointId endpoint = run.link->endpoint();
    const GroupId group = request.group;
    if (!isForwarded)
        noteRefusal(endpoint, error, now);
    if (!isForwarded && capacity_)
        capacity_->noteError(request, run.isInTransaction, endpoint, error, now);
    const bool isLinkUnreliable = error == StatementError::Misrouted || error == StatementError::UnknownStatement;
    if (isLinkUnreliable) {
        run.link->close(std::string("endpoint answered ") + toText(error), now);
    } else {
        returnToPool(run.link, reply.state, now);
    }
    metrics_.count("almondlever_retries_total", std::string("reason=\"") + toText(error) + '"');
    logOutcome(request, "retry", endpoint, "not_run", toText(error), now);
    const bool mayRetry = pending.attempts < settings_.maximumAttempts && pending.callback;
    if (!mayRetry) {
        StatementResult result;
        result.reply.error = StatementError::Busy;
        result.reply.detail = std::string("endpoints refused, last ") + toText(error) + ' ' + reply.detail
            + ", retry after " + std::to_string(settings_.expectedFailoverTime.count() / 8) + " ms";
        result.attempts = pending.attempts;
        finish(ticket, std::move(result), now);
        return dispatch(group, now);
    }
    pending.refusedBy.insert(endpoint);
    if (error == StatementError::ReadOnly)
        onDirectoryChange(now);
    const bool needsPause = error == StatementError::Busy || pending.waitsForPrimary;
    if (needsPause) {
        pending.retryAt = now + settings_.retryPause;
        return dispatch(group, now);
    }
    enqueue(ticket, now);
}

Reply DispatcherState::makeLostReply(
    const StatementRequest& request, bool isInTransaction, const std::string& reason) const
{
    Reply reply;
    reply.detail = reason;
    // Only a commit or an autocommit write can take effect; anything else is rolled back with its connection.
    if (acknowledgesWrite(request, isInTransaction))
        reply.error = StatementError::Unknown;
    else
        reply.error = isInTransaction || request.opensTransaction ? StatementError::Aborted : StatementError::Busy;
    return reply;
}

void DispatcherState::onConnectionLost(Ticket ticket, const std::string& reason, TimePoint now)
{
    const StatementRun run = removeRun(ticket, now, false);
    PendingStatement& pending = pending_.at(ticket);
    const StatementRequest& request = pending.request;
    if (capacity_ && !run.isOpening)
        capacity_->noteLost(request, run.isInTransaction, run.link->endpoint(), now);
    const Reply reply = makeLostReply(request, run.isInTransaction, reason);
    const bool isSafeToRepeat = !run.isForwarded || *reply.error != StatementError::Unknown;
    const bool mayRetry = isSafeToRepeat && !run.isInTransaction && pending.callback
        && pending.attempts < settings_.maximumAttempts && now < request.deadline;
    logOutcome(request, mayRetry ? "retry" : "fail", run.link->endpoint(), isSafeToRepeat ? "not_run" : "unknown",
        reason, now);
    metrics_.count("almondlever_lost_connections_total", mayRetry ? "result=\"retried\"" : "result=\"failed\"");
    if (mayRetry) {
        pending.refusedBy.insert(run.link->endpoint());
        pending.retryAt = now + settings_.retryPause;
        return;
    }
    StatementResult result;
    result.reply = reply;
    if (isSafeToRepeat && !run.isInTransaction)
        result.reply.error = StatementError::Busy;
    result.endpoint = run.link->endpoint();
    result.attempts = pending.attempts;
    finish(ticket, std::move(result), now);
}

void DispatcherState::timeOut(Ticket ticket, TimePoint now)
{
    const auto found = runs_.find(ticket);
    if (found == runs_.end())
        return;
    const bool isForwarded = found->second.isForwarded;
    const StatementRun run = removeRun(ticket, now, false);
    const StatementRequest request = pending_.at(ticket).request;
    StatementResult result;
    result.endpoint = run.link->endpoint();
    result.attempts = pending_.at(ticket).attempts;
    result.reply = makeLostReply(request, run.isInTransaction, "no answer from the endpoint within the time-out");
    if (!isForwarded && result.reply.error == StatementError::Unknown)
        result.reply.error = run.isInTransaction ? StatementError::Aborted : StatementError::Busy;
    const EndpointEntry* primary = directory_.primaryOf(request.group);
    const bool wasToPrimary = primary && primary->id == result.endpoint;
    if (isForwarded && wasToPrimary && acknowledgesWrite(request, run.isInTransaction))
        queuesOf(request.group).writes.noteUnanswered(run.forwardedAt);
    if (capacity_ && isForwarded)
        capacity_->noteTimeout(request, run.isInTransaction, result.endpoint, now - run.forwardedAt, now);
    logOutcome(request, "time_out", result.endpoint,
        result.reply.error == StatementError::Unknown ? "unknown" : "not_run",
        isForwarded ? "no_answer" : "connection_not_prepared", now);
    metrics_.count("almondlever_timeouts_total", isForwarded ? "phase=\"statement\"" : "phase=\"setup\"");
    finish(ticket, std::move(result), now);
    // A connection that is still being opened serves later statements.
    if (!run.isOpening)
        run.link->close("statement timed out", now);
}

void DispatcherState::logOutcome(const StatementRequest& request, std::string_view decision, const EndpointId& endpoint,
    std::string_view outcome, std::string_view reason, TimePoint now)
{
    // Users ask about failures, so these are logged under the rank of the request, and successes under the lowest.
    const bool isSuccess = outcome == "ok";
    if (!log_.admits(isSuccess ? settings_.ranks : request.rank, now))
        return;
    const GroupQueues& queues = queuesOf(request.group);
    const std::optional<TimePoint> sample = queues.history.newestRequestTime();
    const auto milliseconds
        = [](Duration duration) { return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count()); };
    log_.write(decision,
        { { "request", request.statement.id }, { "group", request.group.text() }, { "endpoint", endpoint.text() },
            { "statement", toText(request.statement.kind) }, { "outcome", outcome }, { "reason", reason },
            { "rank", std::to_string(request.rank) }, { "waited_ms", milliseconds(now - request.arrival) },
            { "position_age_ms", sample ? milliseconds(now - *sample) : "none" },
            { "primary", queues.lastPrimary.text() } });
}

} // namespace almondlever

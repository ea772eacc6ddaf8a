#include "DispatcherState.h"

#include <algorithm>

namespace almondlever {

bool DispatcherState::areWritesHeld(const GroupId& group) const
{
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.areWritesHeld;
}

LogPosition DispatcherState::acknowledgedToCallers(const GroupId& group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? LogPosition() : found->second.writes.answered();
}

void DispatcherState::holdWrites(
    const GroupId& group, bool isHeld, TimePoint now, const EndpointId& leader, Term leaderTerm)
{
    GroupQueues& queues = queuesOf(group);
    if (queues.areWritesHeld == isHeld)
        return;
    queues.areWritesHeld = isHeld;
    metrics_.setGauge("almondlever_group_writes_held", "group=\"" + group.text() + '"', isHeld ? 1 : 0);
    logInfo("write_hold",
        { { "group", group.text() }, { "held", isHeld ? "yes" : "no" }, { "primary", queues.lastPrimary.text() },
            { "term", std::to_string(directory_.newestTermOf(group)) }, { "leader", leader.text() },
            { "leader_term", std::to_string(leaderTerm) } });
    if (isHeld)
        return;
    queues.holdEndedAt = now;
    // Another change may have ended since.
    const bool isOutdated = leaderTerm != 0 && leaderTerm < directory_.newestTermOf(group);
    queues.leaderAfterHold = isOutdated ? EndpointId() : leader;
    if (leaderTerm != 0)
        directory_.noteLeading(leader, leaderTerm);
    const EndpointEntry* primary = directory_.primaryOf(group);
    if (primary && primary->id == leader && queues.lastPrimary != leader)
        noteNewPrimary(queues, leader);
    if (awaitsNewsSince_)
        return;
    releaseHeld(group, now);
    dispatch(group, now);
}

void DispatcherState::checkSuspension(TimePoint now)
{
    if (settings_.suspensionLimit == Milliseconds(0) || !lastTick_ || now - *lastTick_ <= settings_.suspensionLimit)
        return;
    // Replies may be handled before the first tick.
    if (awaitsNewsSince_ && *awaitsNewsSince_ > *lastTick_)
        return;
    logWarning("writes_held_after_suspension",
        { { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(now - *lastTick_).count()) } });
    metrics_.count("almondlever_suspension_holds_total", "event=\"begun\"");
    awaitsNewsSince_ = now;
    for (auto& [group, queues] : groups_)
        queues.leaderAfterHold = EndpointId();
}

void DispatcherState::noteNews(TimePoint provenAt, TimePoint now)
{
    if (awaitsNewsSince_ && provenAt >= *awaitsNewsSince_)
        endSuspensionHold(true, now);
}

void DispatcherState::endSuspensionHold(bool hasNews, TimePoint now)
{
    metrics_.count("almondlever_suspension_holds_total", hasNews ? "event=\"news\"" : "event=\"time_out\"");
    logInfo("suspension_hold_ended",
        { { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(now - *awaitsNewsSince_).count()) } });
    awaitsNewsSince_.reset();
    std::vector<GroupId> released;
    for (auto& [group, queues] : groups_) {
        if (queues.areWritesHeld)
            continue;
        queues.holdEndedAt = now;
        released.push_back(group);
    }
    for (const GroupId& group : released) {
        releaseHeld(group, now);
        dispatch(group, now);
    }
}

bool DispatcherState::mustHold(const StatementRun& run, const StatementRequest& request) const
{
    const bool mayWrite = request.isWrite || run.isReadWrite || (request.opensTransaction && run.fromPrimaryQueue);
    return mayWrite && isHeld(request.group);
}

void DispatcherState::postpone(Ticket ticket, TimePoint now)
{
    const StatementRun run = removeRun(ticket, now, false);
    PendingStatement& pending = pending_.at(ticket);
    const GroupId group = pending.request.group;
    logOutcome(pending.request, "hold", run.link->endpoint(), "not_run", "change_of_primary", now);
    if (run.isInTransaction) {
        run.link->setState(PooledLink::State::InTransaction, now);
        heldStatements_.emplace(ticket, std::make_shared<LinkTransaction>(run.link, run.isReadWrite));
        return;
    }
    --pending.attempts;
    returnToPool(run.link, pending.request.opensTransaction ? TransactionState::Open : TransactionState::None, now);
    if (pending.callback) {
        pending.waitsForPrimary = true;
        return enqueue(ticket, now);
    }
    pending_.erase(ticket);
    dispatch(group, now);
}

void DispatcherState::holdAnswer(Ticket ticket, HeldAnswer answer, TimePoint now)
{
    metrics_.count("almondlever_acknowledgements_held_total", "");
    logOutcome(pending_.at(ticket).request, "hold", answer.result.endpoint, "unknown", "change_of_primary", now);
    heldAnswers_.emplace(ticket, std::move(answer));
}

bool DispatcherState::isSafeAfterHold(const GroupId& group, const EndpointId& endpoint, Term term) const
{
    const EndpointId& leader = groups_.at(group).leaderAfterHold;
    const EndpointEntry* primary = directory_.primaryOf(group);
    const bool isStillPrimary = primary && primary->id == endpoint && directory_.newestTermOf(group) == term;
    return isStillPrimary && (leader.isEmpty() || leader == endpoint);
}

void DispatcherState::passOn(Ticket ticket, HeldAnswer answer, bool isSafe, const std::string& reason, TimePoint now)
{
    const StatementRequest& request = pending_.at(ticket).request;
    if (isSafe && answer.result.reply.position)
        queuesOf(request.group).writes.noteAcknowledged(*answer.result.reply.position);
    if (!isSafe) {
        Reply reply;
        reply.error = StatementError::Unknown;
        reply.detail = reason;
        answer.result.reply = std::move(reply);
    }
    metrics_.count("almondlever_acknowledgements_released_total", isSafe ? "result=\"passed\"" : "result=\"unknown\"");
    logOutcome(request, isSafe ? "serve" : "fail", answer.result.endpoint, isSafe ? "ok" : "unknown",
        isSafe ? toText(request.statement.kind) : reason, now);
    finish(ticket, std::move(answer.result), now);
}

void DispatcherState::resumeHeldStatement(Ticket ticket, TimePoint now)
{
    const auto found = heldStatements_.find(ticket);
    if (found == heldStatements_.end())
        return;
    const std::shared_ptr<LinkTransaction> transaction = found->second;
    heldStatements_.erase(found);
    if (pending_.count(ticket) == 0)
        return;
    const EndpointEntry* primary = directory_.primaryOf(pending_.at(ticket).request.group);
    if (!primary || primary->id != transaction->link()->endpoint())
        return abortInTransaction(ticket, transaction, "the primary changed", now);
    runInTransaction(ticket, transaction, now);
}

void DispatcherState::abortInTransaction(
    Ticket ticket, const std::shared_ptr<LinkTransaction>& transaction, const std::string& reason, TimePoint now)
{
    const std::shared_ptr<PooledLink>& link = transaction->link();
    logOutcome(pending_.at(ticket).request, "refuse", link->endpoint(), "not_run", reason, now);
    StatementResult result;
    result.endpoint = link->endpoint();
    result.reply.error = StatementError::Aborted;
    result.reply.detail = reason;
    finish(ticket, std::move(result), now);
    if (!transaction->hasEnded() && link->state() == PooledLink::State::InTransaction)
        rollBack(link, now);
}

void DispatcherState::releaseHeld(const GroupId& group, TimePoint now)
{
    std::vector<Ticket> answers;
    for (const auto& [ticket, answer] : heldAnswers_) {
        if (pending_.at(ticket).request.group == group)
            answers.push_back(ticket);
    }
    std::vector<Ticket> statements;
    for (const auto& [ticket, transaction] : heldStatements_) {
        if (pending_.at(ticket).request.group == group)
            statements.push_back(ticket);
    }
    // A caller's next statement, sent from a callback, may be held again.
    for (const Ticket ticket : answers) {
        const auto found = heldAnswers_.find(ticket);
        if (found == heldAnswers_.end())
            continue;
        HeldAnswer answer = std::move(found->second);
        heldAnswers_.erase(found);
        const bool isSafe = isSafeAfterHold(group, answer.result.endpoint, answer.term);
        passOn(ticket, std::move(answer), isSafe, "the primary changed before its answer was passed on", now);
    }
    for (const Ticket ticket : statements)
        resumeHeldStatement(ticket, now);
}

void DispatcherState::expireHeld(TimePoint now)
{
    std::vector<Ticket> answers;
    for (const auto& [ticket, answer] : heldAnswers_) {
        if (now >= pending_.at(ticket).request.deadline)
            answers.push_back(ticket);
    }
    for (const Ticket ticket : answers) {
        const auto found = heldAnswers_.find(ticket);
        if (found == heldAnswers_.end())
            continue;
        HeldAnswer answer = std::move(found->second);
        heldAnswers_.erase(found);
        passOn(ticket, std::move(answer), false, "the change of primary did not end within the time-out", now);
    }
    std::vector<Ticket> statements;
    for (const auto& [ticket, transaction] : heldStatements_) {
        const bool isOpen
            = !transaction->hasEnded() && transaction->link()->state() == PooledLink::State::InTransaction;
        if (now >= pending_.at(ticket).request.deadline || !isOpen)
            statements.push_back(ticket);
    }
    for (const Ticket ticket : statements) {
        const auto found = heldStatements_.find(ticket);
        if (found == heldStatements_.end())
            continue;
        const std::shared_ptr<LinkTransaction> transaction = found->second;
        heldStatements_.erase(found);
        const bool isLate = now >= pending_.at(ticket).request.deadline;
        abortInTransaction(ticket, transaction,
            isLate ? "the change of primary did not end within the time-out" : "the transaction is not open any more",
            now);
    }
}

} // namespace almondlever

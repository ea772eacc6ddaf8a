// Transaction handling of ServedEndpoint.
#include "almondlever/serving/ServedEndpoint.h"

namespace almondlever {

namespace {

    /** Minimum timeout of a transaction's statement, so that its outcome does not become unknown because of a deadline
     * that has just passed. */
    constexpr Milliseconds minimumStatementTime { 2 };

} // namespace

void ServedEndpoint::submitToTransaction(ForwardJob job, TimePoint now)
{
    const auto found = transactions_.find(job.request.transaction);
    // A keyed commit may be a repeat of one that has already taken effect.
    const bool isCommit = job.request.kind == ForwardKind::Commit && !job.request.isRepeatable;
    if (found == transactions_.end() || found->second.caller != job.request.caller)
        return refuse(job, ForwardErrorCode::TransactionLost, isCommit ? Outcome::Unknown : Outcome::NotRun,
            "the transaction is not open", {}, now);
    if (found->second.isBusy)
        return refuse(job, ForwardErrorCode::Rejected, Outcome::NotRun,
            "a statement of the transaction is still running", {}, now);
    runInTransaction(std::move(job), found->second, now);
}

void ServedEndpoint::runInTransaction(ForwardJob job, Transaction& transaction, TimePoint now)
{
    transaction.isBusy = true;
    transaction.lastUsed = now;
    EndpointStatement statement = statementFor(job);
    statement.term = transaction.term;
    const Duration timeout = std::max<Duration>(job.deadline - now, minimumStatementTime);
    const ForwardKind kind = job.request.kind;
    const auto connection = transaction.connection;
    const auto shared = std::make_shared<ForwardJob>(std::move(job));
    auto callback = [this, alive = alive_, shared, now](const EndpointResult<EndpointReply>& result) {
        if (*alive)
            onTransactionReply(std::move(*shared), result, now, context_.timers.now());
    };
    switch (kind) {
    case ForwardKind::Commit:
        return connection->commit(statement, timeout, std::move(callback));
    case ForwardKind::Rollback:
        return connection->rollback(statement, timeout, std::move(callback));
    default:
        return connection->execute(statement, timeout, std::move(callback));
    }
}

void ServedEndpoint::onTransactionReply(
    ForwardJob job, const EndpointResult<EndpointReply>& result, TimePoint sentAt, TimePoint now)
{
    const TransactionId id = job.request.transaction;
    const auto found = transactions_.find(id);
    if (found != transactions_.end()) {
        found->second.isBusy = false;
        found->second.lastUsed = now;
    }
    limiter_.addSuccess(ConcurrencyLimiter::Kind::Other, now - sentAt, now);
    const bool isEnd = job.request.kind == ForwardKind::Commit || job.request.kind == ForwardKind::Rollback;
    if (result && !isEnd)
        return reply(job, { {}, result.value().value, id, false, false, {} }, now);
    if (result) {
        endTransaction(id, true, now);
        if (job.request.kind == ForwardKind::Rollback || result.value().position.term == 0)
            return reply(job, { {}, std::nullopt, TransactionId(), false, false, {} }, now);
        return confirm(std::move(job), result.value(), sentAt, now);
    }
    endTransaction(id, false, now);
    const bool isUnknown = result.error().outcome != Outcome::NotRun && job.request.kind == ForwardKind::Commit;
    refuse(job, ForwardErrorCode::TransactionLost, isUnknown ? Outcome::Unknown : Outcome::NotRun,
        result.error().detail, {}, now);
}

void ServedEndpoint::endTransaction(const TransactionId& id, bool isConnectionUsable, TimePoint now)
{
    const auto found = transactions_.find(id);
    if (found == transactions_.end())
        return;
    const Transaction transaction = std::move(found->second);
    transactions_.erase(found);
    if (!isConnectionUsable)
        transaction.connection->close();
    pool_.returnConnection(transaction.connection);
    releaseSlot(transaction.queued, now - transaction.beganAt, now);
    dispatch(now);
}

void ServedEndpoint::endIdleTransactions(TimePoint now)
{
    const bool isSlotWanted = scheduler_->size() > 0 || !deferred_.empty();
    const Duration idleLimit = isSlotWanted
        ? std::min(context_.settings.transactionIdleLimit, context_.settings.transactionIdleLimitWhenQueued)
        : context_.settings.transactionIdleLimit;
    std::vector<TransactionId> ended;
    for (const auto& [id, transaction] : transactions_) {
        const bool isIdle = !transaction.isBusy && now - transaction.lastUsed > idleLimit;
        const bool isTooOld = !transaction.isBusy && now - transaction.beganAt > context_.settings.transactionLifeLimit;
        if (isIdle || isTooOld)
            ended.push_back(id);
    }
    for (const TransactionId& id : ended) {
        context_.decisionLog.write("end_transaction",
            { { "transaction", id.text() }, { "endpoint", endpoint_.id.text() }, { "reason", "idle_or_life_limit" } });
        endTransaction(id, false, now);
    }
}

} // namespace almondlever

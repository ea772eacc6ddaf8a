#include "almondlever/forwarding/ForwardedStatements.h"

#include "almondlever/observability/DecisionLog.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace almondlever {

namespace {

    /** Part of an error's text that is kept when the whole text is too large. */
    constexpr std::size_t keptDetailBytes = 256;

} // namespace

void ForwardedStatements::onStatement(const VmId& from, SessionStatement&& message, TimePoint now)
{
    StatementRequest request;
    request.statement = std::move(message.statement);
    request.group = message.group;
    request.customer = message.customer;
    request.rank = message.rank;
    request.arrival = now;
    request.deadline = now + message.timeLeft;
    request.isWrite = message.isWrite;
    request.needsPrimary = message.needsPrimary;
    request.opensTransaction = message.opensTransaction;
    request.isReadOnlyTransaction = message.isReadOnlyTransaction;
    // The staleness is counted back from the arrival at this daemon. That is later than the arrival at the caller's
    // daemon, so the limit is slightly stricter than the caller's.
    request.visibleBefore = now - message.maximumStaleness;
    request.maximumStaleness = message.maximumStaleness;
    request.sessionPosition = message.sessionPosition;
    request.contents = std::make_shared<const SessionContents>(std::move(message.contents));

    const Key key { from, message.correlation };
    if (running_.count(key) > 0) {
        logWarning("statement_runs_already",
            { { "peer", from.text() }, { "statement", std::to_string(message.correlation) } });
        return;
    }
    const std::uint64_t transaction = message.transaction;
    Origin origin { key, transaction, transaction != 0 || request.opensTransaction, false };
    origin.mayHaveEffect
        = request.isWrite && (request.statement.kind == StatementKind::Commit || !origin.isInTransaction);
    const auto report = [this, origin](StatementResult&& result, TimePoint at) {
        running_.erase(origin.key);
        answer(origin, std::move(result), at);
    };
    running_[key] = 0;
    Ticket ticket = 0;
    if (transaction == 0) {
        ticket = local_.submit(std::move(request), report, now);
    } else {
        const auto found = transactions_.find({ from, transaction });
        if (found == transactions_.end()) {
            StatementResult result;
            result.reply.error = StatementError::Aborted;
            result.reply.detail = "the transaction is not open any more";
            return report(std::move(result), now);
        }
        ticket = local_.submit(found->second, std::move(request), report, now);
    }
    const auto running = running_.find(key);
    if (running != running_.end())
        running->second = ticket;
}

void ForwardedStatements::answer(const Origin& origin, StatementResult&& result, TimePoint now)
{
    const VmId& to = origin.key.first;
    SessionAnswer message;
    message.correlation = origin.key.second;
    message.reply = std::move(result.reply);
    message.endpoint = result.endpoint;
    message.attempts = result.attempts;
    if (!isForwardable(message))
        replaceTooLarge(origin, message, result.transaction, now);
    if (result.transaction) {
        message.transaction = origin.transaction != 0 ? origin.transaction : ++lastTransaction_;
        transactions_[{ to, message.transaction }] = result.transaction;
    } else if (origin.transaction != 0) {
        transactions_.erase({ to, origin.transaction });
    }
    // If the answer cannot be sent, the channel to the peer is lost. onLoss() ends the peer's transactions, but it may
    // have been called before this one was added, so this one is ended here.
    if (network_ && network_->send(to, "", message))
        return;
    if (message.transaction != 0)
        onTransactionEnd(to, { message.transaction }, now);
}

void ForwardedStatements::replaceTooLarge(
    const Origin& origin, SessionAnswer& message, TransactionHandle& transaction, TimePoint now)
{
    Reply& reply = message.reply;
    logWarning("answer_too_large",
        { { "peer", origin.key.first.text() }, { "rows", std::to_string(reply.rows.size()) },
            { "endpoint", message.endpoint.text() } });
    reply.rows.clear();
    if (reply.error) {
        reply.detail.resize(std::min(reply.detail.size(), keptDetailBytes));
        return;
    }
    reply.error = origin.mayHaveEffect ? StatementError::Unknown
        : origin.isInTransaction       ? StatementError::Aborted
                                       : StatementError::Failed;
    reply.detail = "the answer is too large to be passed on";
    if (transaction)
        local_.endTransaction(transaction, now);
    transaction = nullptr;
}

void ForwardedStatements::onAbandon(const VmId& from, const SessionAbandon& message, TimePoint now)
{
    const auto found = running_.find({ from, message.correlation });
    if (found == running_.end())
        return;
    const Ticket ticket = found->second;
    running_.erase(found);
    local_.abandon(ticket, now);
}

void ForwardedStatements::onTransactionEnd(const VmId& from, const SessionTransactionEnd& message, TimePoint now)
{
    const auto found = transactions_.find({ from, message.transaction });
    if (found == transactions_.end())
        return;
    const TransactionHandle handle = found->second;
    transactions_.erase(found);
    local_.endTransaction(handle, now);
}

void ForwardedStatements::onProbe(const VmId& from, std::vector<GroupReport> reports)
{
    if (network_)
        network_->send(from, "", OwnerProbeAnswer { std::move(reports) });
}

void ForwardedStatements::onLoss(const VmId& from, TimePoint now)
{
    std::vector<std::uint64_t> statements;
    std::vector<std::uint64_t> transactions;
    for (const auto& [key, ticket] : running_) {
        if (key.first == from)
            statements.push_back(key.second);
    }
    for (const auto& [key, handle] : transactions_) {
        if (key.first == from)
            transactions.push_back(key.second);
    }
    for (const std::uint64_t correlation : statements)
        onAbandon(from, { correlation }, now);
    for (const std::uint64_t transaction : transactions)
        onTransactionEnd(from, { transaction }, now);
}

} // namespace almondlever

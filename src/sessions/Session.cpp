#include "almondlever/sessions/Session.h"

#include <algorithm>

namespace almondlever {

namespace {

    Reply makeError(StatementError error, const std::string& detail)
    {
        Reply reply;
        reply.error = error;
        reply.detail = detail;
        return reply;
    }

    std::string retryAfterText(Milliseconds wait) { return ", retry after " + std::to_string(wait.count()) + " ms"; }

    /** Size of the value or prepared statement that the statement replaces or removes; nullopt if there is none. */
    std::optional<std::size_t> bytesReplaced(const Statement& statement, const SessionContents& contents)
    {
        if (statement.kind == StatementKind::SetValue) {
            const auto held = contents.values.find(statement.name);
            if (held == contents.values.end())
                return std::nullopt;
            return held->first.size() + held->second.size();
        }
        const auto held = contents.prepared.find(statement.name);
        if (held == contents.prepared.end())
            return std::nullopt;
        return held->first.size() + held->second.shape.size();
    }

    Reply makeLocalSuccess()
    {
        Reply reply;
        reply.detail = "-";
        return reply;
    }

} // namespace

Session::Session(DatabaseId database, const KeyDigest& key, CallerLink& link, const RoutingSource& routing,
    CustomerAccess& access, StatementRunner& runner, Metrics& metrics)
    : database_(std::move(database))
    , key_(key)
    , link_(link)
    , routing_(routing)
    , access_(access)
    , runner_(runner)
    , metrics_(metrics)
{
}

Session::~Session() = default;

void Session::onStatement(Statement statement, TimePoint now)
{
    if (isClosed_)
        return;
    if (pendingStatements_.size() >= maximumPipelined) {
        isClosed_ = true;
        onCallerClosed(now);
        return link_.close();
    }
    pendingStatements_.push_back(std::move(statement));
    lastActivity_ = now;
    startNext(now);
}

void Session::onCallerClosed(TimePoint now)
{
    isClosed_ = true;
    pendingStatements_.clear();
    abandonRunning(now);
    if (transaction_)
        runner_.endTransaction(transaction_, now);
    transaction_ = nullptr;
}

void Session::abandonRunning(TimePoint now)
{
    if (!isRunning_)
        return;
    isRunning_ = false;
    if (quotaTicket_ == 0)
        return runner_.abandon(ticket_, now);
    access_.cancelRequest(quotaTicket_);
    quotaTicket_ = 0;
}

void Session::onTick(TimePoint now)
{
    const auto configuration = routing_.routing();
    const bool isIdle = state_ != TransactionState::None && !isRunning_ && configuration;
    if (!isIdle || now - lastActivity_ < configuration->transactionIdleLimit || !abortReason_.empty())
        return;
    abortTransaction("the transaction was idle for too long", now);
}

void Session::abortTransaction(const std::string& reason, TimePoint now)
{
    if (state_ == TransactionState::None || isRunning_)
        return;
    if (transaction_)
        runner_.endTransaction(transaction_, now);
    transaction_ = nullptr;
    state_ = TransactionState::Failed;
    abortReason_ = reason;
}

void Session::closeImmediately(const std::string& reason, TimePoint now)
{
    if (isClosed_)
        return;
    if (isRunning_) {
        // Only a commit or a write outside a transaction can have an effect, and it may be running now.
        const bool mayHaveEffect
            = quotaTicket_ == 0 && isWriting_ && (isCommitting_ || state_ == TransactionState::None);
        abandonRunning(now);
        if (transaction_)
            runner_.endTransaction(transaction_, now);
        transaction_ = nullptr;
        const StatementError error = mayHaveEffect ? StatementError::Unknown
            : state_ == TransactionState::None     ? StatementError::Busy
                                                   : StatementError::Aborted;
        answer(makeError(error, reason), TransactionState::None);
    }
    pendingStatements_.clear();
    isClosed_ = true;
    link_.close();
}

void Session::endIfKeyWithdrawn(TimePoint now)
{
    const auto configuration = routing_.routing();
    if (!configuration)
        return;
    const auto route = configuration->routes.find(database_);
    const bool isPublic = route != configuration->routes.end() && route->second.isPublic;
    if (isPublic || access_.checkKey(key_, now).outcome != KeyDecision::Outcome::UnknownKey)
        return;
    abortTransaction("the key is not in force any more", now);
    closeWhenQuiescent();
}

void Session::closeWhenQuiescent()
{
    isClosing_ = true;
    if (!isQuiescent() || isClosed_)
        return;
    isClosed_ = true;
    link_.close();
}

void Session::startNext(TimePoint now)
{
    // A statement that is answered inside run() must not start the next one recursively.
    if (isStarting_)
        return;
    isStarting_ = true;
    while (!isRunning_ && !pendingStatements_.empty() && !isClosed_) {
        const Statement statement = std::move(pendingStatements_.front());
        pendingStatements_.pop_front();
        startedAt_ = now;
        run(statement, now);
    }
    isStarting_ = false;
    if (isClosing_)
        closeWhenQuiescent();
}

void Session::run(const Statement& statement, TimePoint now)
{
    switch (statement.kind) {
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
        return runLocal(statement, now);
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        return runBegin(statement, now);
    case StatementKind::Rollback:
        return runRollback(now);
    case StatementKind::Commit:
        return runCommit(statement, now);
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        return runOnEndpoint(statement, now);
    case StatementKind::Malformed:
        break;
    }
    answerWithError(StatementError::Malformed, "the statement could not be understood", now);
}

void Session::runLocal(const Statement& statement, TimePoint now)
{
    if (state_ == TransactionState::Failed)
        return answerWithError(StatementError::Malformed, "the transaction has failed and must be ended first", now);
    if (!admitContents(statement, now))
        return;
    SessionContents& contents = writableContents();
    if (statement.kind == StatementKind::SetValue)
        contents.values[statement.name] = statement.argument;
    else if (statement.kind == StatementKind::Prepare)
        contents.prepared[statement.name] = { statement.isWriteShape, statement.argument };
    else
        contents.prepared.erase(statement.name);
    answer(makeLocalSuccess(), state_);
}

bool Session::admitContents(const Statement& statement, TimePoint now)
{
    const std::optional<std::size_t> replaced = bytesReplaced(statement, *contents_);
    const bool isRemoval = statement.kind == StatementKind::Deallocate;
    const std::size_t added = isRemoval ? 0 : statement.name.size() + statement.argument.size();
    const std::size_t bytes = contentsBytes_ - replaced.value_or(0) + added;
    if (bytes > contentsBytes_ && bytes > maximumContentsBytes) {
        const std::string limit = std::to_string(maximumContentsBytes);
        answerWithError(StatementError::TooBig, "the state of a session may have " + limit + " bytes", now);
        return false;
    }
    const std::size_t entries
        = contents_->values.size() + contents_->prepared.size() - (replaced ? 1 : 0) + (isRemoval ? 0 : 1);
    if (!link_.holdSessionState(bytes, entries)) {
        answerWithError(StatementError::TooBig, "the sessions hold too much state, retry after 1000 ms", now);
        return false;
    }
    contentsBytes_ = bytes;
    return true;
}

void Session::runBegin(const Statement& statement, TimePoint now)
{
    if (state_ != TransactionState::None)
        return answerWithError(StatementError::Malformed, "a transaction is open already", now);
    if (!resolveRoute(now) || !checkKey(statement, now))
        return;
    requestOperation(statement, now);
}

bool Session::checkKey(const Statement& statement, TimePoint now)
{
    if (route_.isPublic) {
        customer_ = CustomerId();
        return true;
    }
    const KeyDecision decision = access_.checkKey(key_, now);
    if (decision.outcome != KeyDecision::Outcome::Accepted)
        access_.logKeyRefusal(statement.id, decision, route_.rank, now);
    if (decision.outcome == KeyDecision::Outcome::UnknownKey) {
        refuseUnknownKey(now);
        return false;
    }
    const bool isInTransaction = state_ == TransactionState::Open;
    if (decision.outcome == KeyDecision::Outcome::Unconfirmed) {
        const std::string reason = "the key cannot be confirmed" + retryAfterText(decision.retryAfter);
        if (isInTransaction)
            refuseInTransaction(statement, reason, now);
        else
            answerWithError(StatementError::Busy, reason, now);
        isClosing_ = isClosing_ || (decision.endsSession && !isInTransaction);
        return false;
    }
    if (isInTransaction && decision.customer != customer_) {
        refuseInTransaction(statement, "the key has moved to another customer", now);
        return false;
    }
    customer_ = decision.customer;
    return true;
}

void Session::refuseUnknownKey(TimePoint now)
{
    if (transaction_)
        runner_.endTransaction(transaction_, now);
    transaction_ = nullptr;
    isClosing_ = true;
    answer(makeError(StatementError::NotAuthorized, "no customer holds the key"), TransactionState::None);
}

void Session::refuseInTransaction(const Statement& statement, const std::string& reason, TimePoint now)
{
    abortTransaction(reason, now);
    if (statement.kind == StatementKind::Commit)
        return runCommit(statement, now);
    answerWithError(StatementError::Aborted, reason, now);
}

void Session::requestOperation(const Statement& statement, TimePoint now)
{
    isRunning_ = true;
    isWriting_ = false;
    quotaTicket_ = access_.requestOperation(
        { statement.id, customer_, route_.rank },
        [this, statement](
            const std::optional<QuotaRefusal>& refusal, TimePoint at) { onQuotaDecision(statement, refusal, at); },
        now);
}

void Session::onQuotaDecision(const Statement& statement, const std::optional<QuotaRefusal>& refusal, TimePoint now)
{
    isRunning_ = false;
    quotaTicket_ = 0;
    if (refusal)
        answerWithError(StatementError::Busy, refusal->reason + retryAfterText(refusal->retryAfter), now);
    else
        startOperation(statement, now);
    startNext(now);
}

void Session::startOperation(const Statement& statement, TimePoint now)
{
    const bool isBegin = statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly;
    if (!isBegin)
        return submitStatement(statement, now);
    isReadOnlyTransaction_ = statement.kind == StatementKind::BeginReadOnly;
    hasWritten_ = false;
    abortReason_.clear();
    answer(makeLocalSuccess(), TransactionState::Open);
}

void Session::runRollback(TimePoint now)
{
    if (transaction_)
        runner_.endTransaction(transaction_, now);
    transaction_ = nullptr;
    abortReason_.clear();
    answer(makeLocalSuccess(), TransactionState::None);
}

void Session::runCommit(const Statement& statement, TimePoint now)
{
    if (state_ == TransactionState::None)
        return answerWithError(StatementError::Malformed, "no transaction is open", now);
    if (state_ == TransactionState::Failed) {
        const std::string reason = abortReason_.empty() ? "a statement of the transaction failed" : abortReason_;
        abortReason_.clear();
        return answer(makeError(StatementError::Aborted, reason), TransactionState::None);
    }
    if (!checkKey(statement, now))
        return;
    StatementRequest request = makeRequest(statement, now);
    request.isWrite = hasWritten_;
    isCommitting_ = true;
    isWriting_ = hasWritten_;
    submit(std::move(request), now);
}

void Session::runOnEndpoint(const Statement& statement, TimePoint now)
{
    if (!abortReason_.empty() && state_ == TransactionState::Failed)
        return answerWithError(StatementError::Aborted, abortReason_, now);
    if (state_ == TransactionState::Failed)
        return answerWithError(StatementError::Malformed, "the transaction has failed and must be ended first", now);
    if (state_ == TransactionState::None && !resolveRoute(now))
        return;
    const auto configuration = routing_.routing();
    const std::size_t configured = configuration ? configuration->maximumStatementBytes : 0;
    const std::size_t limit = configured > 0 ? std::min(configured, maximumStatementBytes) : maximumStatementBytes;
    if (statement.text.size() > limit || statement.id.size() + statement.text.size() > maximumStatementBytes)
        return answerWithError(StatementError::TooBig, "a statement may have " + std::to_string(limit) + " bytes", now);
    const bool isPrepared = contents_->prepared.count(statement.name) > 0;
    if (statement.kind == StatementKind::Execute && !isPrepared)
        return answerWithError(StatementError::UnknownStatement, "no prepared statement has this name", now);
    if (!checkKey(statement, now))
        return;
    if (state_ == TransactionState::None)
        return requestOperation(statement, now);
    submitStatement(statement, now);
}

void Session::submitStatement(const Statement& statement, TimePoint now)
{
    const bool isWrite = statement.kind == StatementKind::Execute ? contents_->prepared.at(statement.name).isWrite
                                                                  : statement.kind == StatementKind::Write;
    StatementRequest request = makeRequest(statement, now);
    request.isWrite = isWrite;
    request.needsPrimary = request.needsPrimary || (isWrite && state_ == TransactionState::None);
    isCommitting_ = false;
    isWriting_ = isWrite;
    submit(std::move(request), now);
}

StatementRequest Session::makeRequest(const Statement& statement, TimePoint now) const
{
    StatementRequest request;
    request.statement = statement;
    request.group = route_.group;
    request.customer = customer_;
    request.rank = route_.rank;
    request.arrival = startedAt_;
    request.deadline = startedAt_ + route_.statementTimeout;
    request.visibleBefore = now - route_.maximumStaleness;
    request.maximumStaleness = route_.maximumStaleness;
    if (route_.readRule == ReadRule::ReadYourWrites)
        request.sessionPosition = position_;
    request.contents = contents_;
    const bool isInTransaction = state_ == TransactionState::Open;
    request.opensTransaction = isInTransaction && !transaction_;
    request.isReadOnlyTransaction = isInTransaction && isReadOnlyTransaction_;
    request.needsPrimary = route_.readRule == ReadRule::Primary || (isInTransaction && !isReadOnlyTransaction_);
    return request;
}

void Session::submit(StatementRequest request, TimePoint now)
{
    isRunning_ = true;
    const auto report = [this](StatementResult&& result, TimePoint at) { onResult(std::move(result), at); };
    const Ticket ticket = transaction_ ? runner_.submit(transaction_, std::move(request), report, now)
                                       : runner_.submit(std::move(request), report, now);
    if (isRunning_)
        ticket_ = ticket;
}

void Session::onResult(StatementResult&& result, TimePoint now)
{
    isRunning_ = false;
    lastActivity_ = now;
    const bool isInTransaction = state_ == TransactionState::Open;
    if (!result.reply.error && isInTransaction && !isCommitting_ && !result.transaction)
        result.reply = makeError(StatementError::Aborted, "the transaction is not open any more");
    const bool isSuccess = !result.reply.error;
    if (isSuccess && isWriting_) {
        const bool isVisible = isCommitting_ || state_ == TransactionState::None;
        if (isVisible && result.reply.position)
            position_ = std::max(position_.value_or(LogPosition()), *result.reply.position);
        hasWritten_ = true;
    }
    transaction_ = result.transaction;
    TransactionState next = TransactionState::None;
    if (isInTransaction && !isCommitting_)
        next = isSuccess ? TransactionState::Open : TransactionState::Failed;
    metrics_.count("almondlever_statements_total",
        std::string("outcome=\"") + (isSuccess ? "ok" : toText(*result.reply.error)) + "\",rank=\""
            + std::to_string(route_.rank) + '"');
    metrics_.observe("almondlever_statement_seconds", "rank=\"" + std::to_string(route_.rank) + '"', now - startedAt_);
    isCommitting_ = false;
    answer(std::move(result.reply), next);
    startNext(now);
}

void Session::answerWithError(StatementError error, const std::string& detail, TimePoint now)
{
    metrics_.count("almondlever_statements_refused_total", std::string("error=\"") + toText(error) + '"');
    // The caller can only end a failed transaction, and its next statement must not run in it.
    if (transaction_)
        runner_.endTransaction(transaction_, now);
    transaction_ = nullptr;
    const TransactionState next = state_ == TransactionState::None ? TransactionState::None : TransactionState::Failed;
    answer(makeError(error, detail), next);
}

void Session::answer(Reply reply, TransactionState next)
{
    state_ = next;
    reply.state = next;
    if (!isClosed_)
        link_.send(reply);
}

bool Session::resolveRoute(TimePoint now)
{
    const auto configuration = routing_.routing();
    if (configuration) {
        const auto found = configuration->routes.find(database_);
        if (found != configuration->routes.end()) {
            route_ = found->second;
            return true;
        }
    }
    answerWithError(StatementError::UnknownDatabase, database_.text(), now);
    isClosing_ = true;
    return false;
}

SessionContents& Session::writableContents()
{
    // Copies the contents if a statement in flight shares them, so that it keeps those it was sent with.
    if (contents_.use_count() > 1)
        contents_ = std::make_shared<SessionContents>(*contents_);
    return *contents_;
}

} // namespace almondlever

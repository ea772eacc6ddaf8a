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

    Reply makeLocalSuccess()
    {
        Reply reply;
        reply.detail = "-";
        return reply;
    }

} // namespace

Session::Session(
    DatabaseId database, CallerLink& link, const RoutingSource& routing, StatementRunner& runner, Metrics& metrics)
    : database_(std::move(database))
    , link_(link)
    , routing_(routing)
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
    if (isRunning_)
        runner_.abandon(ticket_, now);
    if (transaction_)
        runner_.endTransaction(transaction_, now);
    transaction_ = nullptr;
    isRunning_ = false;
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
        const bool mayHaveEffect = isWriting_ && (isCommitting_ || state_ == TransactionState::None);
        runner_.abandon(ticket_, now);
        isRunning_ = false;
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
        return runLocal(statement);
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        return runBegin(statement);
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
    answerWithError(StatementError::Malformed, "the statement could not be understood");
}

void Session::runLocal(const Statement& statement)
{
    if (state_ == TransactionState::Failed)
        return answerWithError(StatementError::Malformed, "the transaction has failed and must be ended first");
    SessionContents& contents = writableContents();
    if (statement.kind == StatementKind::SetValue)
        contents.values[statement.name] = statement.argument;
    else if (statement.kind == StatementKind::Prepare)
        contents.prepared[statement.name] = { statement.isWriteShape, statement.argument };
    else
        contents.prepared.erase(statement.name);
    answer(makeLocalSuccess(), state_);
}

void Session::runBegin(const Statement& statement)
{
    if (state_ != TransactionState::None)
        return answerWithError(StatementError::Malformed, "a transaction is open already");
    if (!resolveRoute())
        return;
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
        return answerWithError(StatementError::Malformed, "no transaction is open");
    if (state_ == TransactionState::Failed) {
        const std::string reason = abortReason_.empty() ? "a statement of the transaction failed" : abortReason_;
        abortReason_.clear();
        return answer(makeError(StatementError::Aborted, reason), TransactionState::None);
    }
    StatementRequest request = makeRequest(statement, now);
    request.isWrite = hasWritten_;
    isCommitting_ = true;
    isWriting_ = hasWritten_;
    submit(std::move(request), now);
}

void Session::runOnEndpoint(const Statement& statement, TimePoint now)
{
    if (!abortReason_.empty() && state_ == TransactionState::Failed)
        return answerWithError(StatementError::Aborted, abortReason_);
    if (state_ == TransactionState::Failed)
        return answerWithError(StatementError::Malformed, "the transaction has failed and must be ended first");
    if (state_ == TransactionState::None && !resolveRoute())
        return;
    const auto configuration = routing_.routing();
    const std::size_t limit = configuration ? configuration->maximumStatementBytes : 0;
    if (limit > 0 && statement.text.size() > limit)
        return answerWithError(StatementError::TooBig, "a statement may have " + std::to_string(limit) + " bytes");
    bool isWrite = statement.kind == StatementKind::Write;
    if (statement.kind == StatementKind::Execute) {
        const auto prepared = contents_->prepared.find(statement.name);
        if (prepared == contents_->prepared.end())
            return answerWithError(StatementError::UnknownStatement, "no prepared statement has this name");
        isWrite = prepared->second.isWrite;
    }
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
    request.rank = route_.rank;
    request.arrival = now;
    request.deadline = now + route_.statementTimeout;
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
    const bool isSuccess = !result.reply.error;
    if (isSuccess && isWriting_ && result.reply.position) {
        const bool isVisible = isCommitting_ || state_ == TransactionState::None;
        if (isVisible)
            position_ = std::max(position_.value_or(LogPosition()), *result.reply.position);
        hasWritten_ = true;
    }
    const bool isInTransaction = state_ == TransactionState::Open;
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

void Session::answerWithError(StatementError error, const std::string& detail)
{
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

bool Session::resolveRoute()
{
    const auto configuration = routing_.routing();
    if (configuration) {
        const auto found = configuration->routes.find(database_);
        if (found != configuration->routes.end()) {
            route_ = found->second;
            return true;
        }
    }
    answerWithError(StatementError::UnknownDatabase, database_.text());
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

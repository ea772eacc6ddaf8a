#include "SoakCaller.h"

#include <set>

namespace almondlever::soak {

namespace {

    constexpr Milliseconds answerPatience { 4000 };
    constexpr Milliseconds reconnectPause { 60 };
    constexpr Milliseconds refusalPause { 120 };
    constexpr int pauseSteps = 40;
    constexpr int items = 40;
    constexpr double transactionShare = 0.3;
    constexpr double rollbackShare = 0.1;
    constexpr double writeShare = 0.4;
    constexpr double sessionStateShare = 0.1;
    constexpr double executeShare = 0.3;
    /** Sessions are long, but no daemon stays without callers after a restart. */
    constexpr double sessionEndShare = 0.01;

    bool promisesNothingKept(const std::string& error)
    {
        static const std::set<std::string> words { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };
        return words.count(error) > 0;
    }

} // namespace

SoakCaller::SoakCaller(asio::io_context& context, PromiseChecker& checker, SoakCounts& counts, std::string name,
    SoakRoute route, const SoakHabits& habits, std::uint64_t seed, DaemonChoice choose, ServedObserver onServed)
    : context_(context)
    , checker_(checker)
    , counts_(counts)
    , name_(std::move(name))
    , route_(std::move(route))
    , habits_(habits)
    , random_(seed)
    , odd_(habits.oddData, seed)
    , leaveRandom_(seed)
    , choose_(std::move(choose))
    , onServed_(std::move(onServed))
    , timer_(context)
{
}

void SoakCaller::stop()
{
    isStopped_ = true;
    timer_.cancel();
    if (isRunning_)
        endAttempt(AttemptOutcome::InDoubt);
    if (stream_)
        stream_->close();
}

void SoakCaller::connect()
{
    if (isStopped_)
        return;
    values_.clear();
    prepared_.clear();
    isOpen_ = false;
    isRollingBack_ = false;
    rows_.clear();
    signature_.clear();
    error_.clear();
    ++session_;
    daemon_ = choose_(random_);
    stream_ = std::make_shared<WireStream>(context_);
    WireStream::Handlers handlers;
    const auto weak = weak_from_this();
    handlers.onMessage = [weak](std::string_view message) {
        if (const auto self = weak.lock())
            self->onMessage(message);
    };
    handlers.onClosed = [weak] {
        if (const auto self = weak.lock())
            self->onClosed();
    };
    stream_->write("STARTUP " + route_.database + ' ' + name_ + "\r\n");
    stream_->connect(daemon_, std::move(handlers));
    pause(answerPatience);
}

void SoakCaller::pause(Milliseconds time)
{
    timer_.expires_after(time);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!self || error || self->isStopped_)
            return;
        const bool isIdle = self->isOpen_ && !self->isRunning_ && !self->isRollingBack_;
        if (isIdle && !self->draw(sessionEndShare))
            return self->nextOperation();
        if (isIdle)
            self->stream_->write("TERMINATE\r\n");
        // Nothing came for too long, or it is time to connect again.
        if (self->stream_)
            self->stream_->close();
        self->stream_.reset();
        if (self->isRunning_)
            self->endAttempt(AttemptOutcome::InDoubt);
        self->connect();
    });
}

void SoakCaller::onClosed()
{
    if (isRunning_)
        endAttempt(AttemptOutcome::InDoubt);
    isOpen_ = false;
    pause(reconnectPause);
}

void SoakCaller::closeSession()
{
    stream_->close();
    onClosed();
}

void SoakCaller::leave()
{
    if (std::uniform_int_distribution<int>(0, 1)(leaveRandom_) == 0)
        stream_->write("TERMINATE\r\n");
    closeSession();
}

SoakCaller::Step SoakCaller::makeData(bool mayWrite)
{
    const std::string plainItem = "i" + std::to_string(std::uniform_int_distribution<int>(1, items)(random_));
    Step step;
    const bool isWrite = mayWrite && draw(writeShare);
    step.kind = isWrite ? Step::Kind::Write : Step::Kind::Read;
    if (isWrite)
        step.token = odd_.changeField(name_ + '-' + std::to_string(++number_));
    const std::string argument = isWrite ? odd_.changeWord(plainItem) + ' ' + step.token : odd_.changeField(plainItem);
    const auto prepared = prepared_.find(isWrite);
    if (prepared != prepared_.end() && draw(executeShare)) {
        step.text = "EXECUTE " + prepared->second.name + ' ' + argument;
        step.runs = argument;
        step.prepared = prepared->second.shape;
    } else {
        step.text = (isWrite ? "WRITE " : "READ ") + argument;
        step.runs = step.text;
    }
    return step;
}

SoakCaller::Step SoakCaller::makeSet()
{
    Step step;
    step.kind = Step::Kind::Set;
    step.name = odd_.makeName("zone");
    step.token = odd_.makeValue("v" + std::to_string(number_));
    step.text = "SET " + step.name + ' ' + step.token;
    return step;
}

SoakCaller::Step SoakCaller::makePrepare()
{
    Step step;
    step.kind = Step::Kind::Prepare;
    PreparedShape shape;
    shape.isWrite = draw(0.5);
    step.name = odd_.makeName(shape.isWrite ? "w" : "r");
    shape.text = odd_.makeShape("q" + name_ + std::to_string(session_) + (shape.isWrite ? "w" : "r"));
    step.text = "PREPARE " + step.name + (shape.isWrite ? " WRITE " : " READ ") + shape.text;
    step.prepared = shape;
    return step;
}

void SoakCaller::nextOperation()
{
    steps_.clear();
    step_ = 0;
    transaction_ = 0;
    tokens_.clear();
    hasAsked_ = false;
    if (draw(sessionStateShare)) {
        ++number_;
        steps_.push_back(draw(0.5) ? makeSet() : makePrepare());
    } else if (draw(transactionShare)) {
        static std::uint64_t lastTransaction = 0;
        transaction_ = ++lastTransaction;
        const bool isReadOnly = draw(0.4);
        steps_.push_back({ Step::Kind::Begin, isReadOnly ? "BEGIN READ" : "BEGIN", "", {}, "", "" });
        const int count = std::uniform_int_distribution<int>(1, 4)(random_);
        for (int i = 0; i < count; ++i)
            steps_.push_back(makeData(!isReadOnly));
        const bool rollsBack = draw(rollbackShare);
        steps_.push_back({ rollsBack ? Step::Kind::Rollback : Step::Kind::Commit, rollsBack ? "ROLLBACK" : "COMMIT",
            rollsBack ? "ROLLBACK" : "COMMIT", {}, "", "" });
    } else {
        steps_.push_back(makeData(true));
    }
    ++counts_.attempts;
    isRunning_ = true;
    since_ = Clock::now();
    sendStep();
}

void SoakCaller::sendStep()
{
    const bool leaves = transaction_ != 0 && step_ > 0 && habits_.leaveShare > 0
        && std::uniform_real_distribution<double>(0, 1)(leaveRandom_) < habits_.leaveShare;
    if (leaves)
        return leave();
    const Step& step = steps_[step_];
    id_ = nextId();
    rows_.clear();
    signature_.clear();
    error_.clear();
    const bool isData = step.kind == Step::Kind::Read || step.kind == Step::Kind::Write;
    if (step.kind == Step::Kind::Write)
        tokens_.push_back(step.token);
    const bool asks = (step.kind == Step::Kind::Write && transaction_ == 0) || step.kind == Step::Kind::Commit;
    if (asks) {
        hasAsked_ = !tokens_.empty();
        checker_.noteCommitAsked(tokens_);
    }
    if (isData || step.kind == Step::Kind::Commit) {
        SentStatement sent;
        sent.session = sessionName();
        sent.group = route_.group;
        sent.rule = route_.rule;
        sent.maximumStaleness = route_.maximumStaleness;
        sent.since = since_;
        sent.text = step.runs;
        sent.prepared = step.prepared;
        sent.isRead = step.kind == Step::Kind::Read;
        sent.values = values_;
        sent.transaction = transaction_;
        checker_.noteSent(id_, sent);
    }
    stream_->write("QUERY " + id_ + ' ' + step.text + "\r\n");
    pause(answerPatience);
}

void SoakCaller::onMessage(std::string_view message)
{
    std::string_view rest = message;
    const std::string_view word = takeField(rest);
    const bool isWaiting = !isOpen_ || isRunning_ || isRollingBack_;
    if (!isWaiting && word == "ERROR")
        return closeSession();
    const bool hasOutcome = !signature_.empty() || !error_.empty();
    // READY without an outcome counts as a success without a signature.
    const bool isExpected = word == "READY" || (isOpen_ ? !hasOutcome : word == "ERROR");
    if (!isWaiting || !isExpected)
        return rejectMessage(message);
    if (word == "DATAROW") {
        rows_.emplace_back(rest);
    } else if (word == "COMPLETE") {
        signature_ = rest;
    } else if (word == "ERROR") {
        error_ = takeField(rest);
    } else if (word != "READY") {
        rejectMessage(message);
    } else {
        if (!isOpen_) {
            isOpen_ = true;
            return pause(Milliseconds(1));
        }
        if (isRollingBack_) {
            isRollingBack_ = false;
            return pause(refusalPause);
        }
        if (isRunning_)
            onAnswer();
    }
}

void SoakCaller::rejectMessage(std::string_view message)
{
    checker_.noteUnsolicited(sessionName(), std::string(message));
    closeSession();
}

void SoakCaller::onAnswer()
{
    const Step& step = steps_[step_];
    if (!error_.empty()) {
        const bool nothingKept = promisesNothingKept(error_);
        if (error_ == "NOSTMT")
            checker_.noteUnknownName(id_);
        const bool mustRollBack
            = transaction_ != 0 && step.kind != Step::Kind::Commit && step.kind != Step::Kind::Rollback;
        endAttempt(nothingKept ? AttemptOutcome::NothingKept : AttemptOutcome::InDoubt);
        if (step.kind == Step::Kind::Set || step.kind == Step::Kind::Prepare)
            return closeSession();
        if (!mustRollBack)
            return pause(refusalPause);
        isRollingBack_ = true;
        rows_.clear();
        signature_.clear();
        error_.clear();
        stream_->write("QUERY " + nextId() + " ROLLBACK\r\n");
        return pause(answerPatience);
    }
    const bool isData = step.kind == Step::Kind::Read || step.kind == Step::Kind::Write;
    if (isData || step.kind == Step::Kind::Commit)
        checker_.noteSuccess(id_, signature_, rows_);
    if (step.kind == Step::Kind::Set)
        values_[step.name] = step.token;
    if (step.kind == Step::Kind::Prepare) {
        const bool isWrite = step.prepared->isWrite;
        const auto other = prepared_.find(!isWrite);
        if (other != prepared_.end() && other->second.name == step.name)
            prepared_.erase(other);
        prepared_[isWrite] = { step.name, *step.prepared };
    }
    if (++step_ < steps_.size())
        return sendStep();
    // A transaction that its caller rolled back leaves nothing and promises nothing more.
    const bool isRolledBack = step.kind == Step::Kind::Rollback;
    if (isData || step.kind == Step::Kind::Commit)
        onServed_(daemon_, route_.group, !tokens_.empty());
    if (isRolledBack)
        tokens_.clear();
    endAttempt(AttemptOutcome::Success);
    const int part = std::uniform_int_distribution<int>(1, pauseSteps)(random_);
    pause(std::max(Milliseconds(1), habits_.longestPause * part / pauseSteps));
}

void SoakCaller::endAttempt(AttemptOutcome outcome)
{
    isRunning_ = false;
    counts_.served += outcome == AttemptOutcome::Success ? 1 : 0;
    counts_.refused += outcome == AttemptOutcome::NothingKept ? 1 : 0;
    counts_.inDoubt += outcome == AttemptOutcome::InDoubt ? 1 : 0;
    checker_.noteAttempt(sessionName(), route_.group, tokens_, outcome, Clock::now());
}

} // namespace almondlever::soak

#include "StandinConnection.h"

#include <charconv>

namespace almondlever::soak {

namespace {

    constexpr std::size_t slots = 6;
    constexpr std::size_t queueLimit = 40;
    constexpr int longestWorkMs = 6;
    constexpr int longestRepeatMs = 1500;
    constexpr double busyShare = 0.05;

    std::uint64_t toNumber(std::string_view text)
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

} // namespace

StandinConnection::StandinConnection(StandinGroup& group, StandinEndpoint& endpoint, asio::ip::tcp::socket&& socket)
    : group_(group)
    , endpoint_(endpoint)
    , stream_(std::make_shared<WireStream>(std::move(socket)))
    , timer_(group.context())
    , number_(group.nextNumber())
{
}

void StandinConnection::start()
{
    WireStream::Handlers handlers;
    handlers.onMessage = [weak = weak_from_this()](std::string_view message) {
        if (const auto self = weak.lock())
            self->onMessage(message);
    };
    handlers.onClosed = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->close();
        self->endpoint_.connections_.erase(self);
    };
    stream_->start(std::move(handlers));
}

void StandinConnection::close()
{
    // Also after an answer that was cut off, whose last bytes may still be unsent.
    stream_->close();
    if (isClosed_)
        return;
    isClosed_ = true;
    timer_.cancel();
    if (hasSlot_ && endpoint_.running_ > 0)
        --endpoint_.running_;
    hasSlot_ = false;
}

void StandinConnection::onMessage(std::string_view message)
{
    waiting_.emplace_back(message);
    takeNext();
}

void StandinConnection::takeNext()
{
    if (isBusy_ || isClosed_ || waiting_.empty() || endpoint_.faults_.isSilent) {
        if (endpoint_.faults_.isSilent && !isBusy_ && !isClosed_ && !waiting_.empty()) {
            isBusy_ = true;
            timer_.expires_after(Milliseconds(50));
            timer_.async_wait([weak = weak_from_this()](std::error_code error) {
                const auto self = weak.lock();
                if (!self || error)
                    return;
                self->isBusy_ = false;
                self->takeNext();
            });
        }
        return;
    }
    const std::string line = std::move(waiting_.front());
    waiting_.pop_front();
    std::string_view rest = line;
    const std::string_view word = takeField(rest);
    if (word == "STARTUP") {
        const std::string_view service = takeField(rest);
        takeField(rest);
        if (service != group_.id().text() || (!rest.empty() && rest != endpoint_.id().text())) {
            stream_->write("ERROR MISROUTED " + endpoint_.id().text() + "\r\n");
            return stream_->finish();
        }
        isOpen_ = true;
        answer(readyLine());
        return takeNext();
    }
    if (word != "QUERY" || !isOpen_)
        return close();
    isBusy_ = true;
    const std::string id(takeField(rest));
    handle(id, rest);
}

void StandinConnection::handle(const std::string& id, std::string_view text)
{
    std::string_view rest = text;
    std::string verb(takeField(rest));
    const bool hasLostLead = state_ == 'T' && !isReadOnly_ && (!leads() || group_.term() != term_);
    const bool isEmptyCommit = verb == "COMMIT" && written_.empty();
    if (hasLostLead && verb != "ROLLBACK" && !isEmptyCommit)
        return fail("READONLY " + endpoint_.id().text());
    if (state_ == 'E' && verb != "ROLLBACK" && verb != "COMMIT")
        return fail("MALFORMED " + group_.oddText().changeField("the transaction failed"));
    if (verb == "AFTER") {
        const auto needed = parsePosition(takeField(rest));
        if (!needed)
            return fail("MALFORMED no position");
        const std::size_t visible = endpoint_.visible(Clock::now());
        const LogPosition held = visible == 0 ? LogPosition {} : endpoint_.log()[visible - 1].position;
        if (held < *needed)
            return fail("LAGGING " + formatPosition(held));
        verb = takeField(rest);
    }
    if (verb == "BEGIN") {
        isReadOnly_ = rest == "READ";
        if (!isReadOnly_ && !leads())
            return fail("READONLY " + endpoint_.id().text());
        state_ = 'T';
        term_ = group_.term();
        transaction_ = group_.nextNumber();
        written_.clear();
        return complete("-", {}, false);
    }
    if (verb == "ROLLBACK") {
        state_ = 'I';
        transaction_ = 0;
        written_.clear();
        return complete("-", {}, false);
    }
    if (verb == "COMMIT")
        return work([this, id] { runCommit(id); });
    if (verb == "SET") {
        const std::string name(takeField(rest));
        values_[name] = rest;
        return complete("-", {}, false);
    }
    if (verb == "PREPARE") {
        const std::string name(takeField(rest));
        const bool isWrite = takeField(rest) == "WRITE";
        prepared_[name] = { isWrite, std::string(rest) };
        return complete("-", {}, false);
    }
    if (verb == "DEALLOC" || verb == "RESET") {
        if (verb == "RESET")
            values_.clear();
        if (verb == "RESET")
            prepared_.clear();
        else
            prepared_.erase(std::string(rest));
        return complete("-", {}, false);
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
        const Term term = toNumber(rest);
        // The connection stays busy: its other side hears nothing more.
        if (verb != "STATUS" && endpoint_.faults_.lateOrders > 0 && group_.delayOrder(endpoint_, verb, term))
            return;
        endpoint_.carryOut(verb, term);
        return completeStatus();
    }
    if (verb == "READ" || verb == "WRITE") {
        std::string_view token = rest;
        takeField(token);
        RunStatement run;
        run.text = verb + ' ' + std::string(rest);
        return work([this, id, isWrite = verb == "WRITE", run = std::move(run), written = std::string(token)] {
            runStatement(id, isWrite, run, written);
        });
    }
    if (verb == "EXECUTE") {
        const auto shape = prepared_.find(std::string(takeField(rest)));
        if (shape == prepared_.end()) {
            group_.checker().noteUnknownName(id);
            return fail("NOSTMT -");
        }
        std::string_view token = rest;
        takeField(token);
        RunStatement run;
        run.text = rest;
        run.prepared = shape->second;
        return work([this, id, run = std::move(run), written = std::string(token)] {
            runStatement(id, run.prepared->isWrite, run, written);
        });
    }
    fail("MALFORMED not understood");
}

void StandinConnection::work(std::function<void()> then)
{
    // An endpoint that repeats answers is also busy at times, so that promises are repeated.
    const bool isBusy = endpoint_.faults_.repeats > 0 && group_.drawWireFault(busyShare);
    if (isBusy || endpoint_.running_ >= slots + queueLimit)
        return fail("BUSY " + group_.oddText().changeField("-"));
    ++endpoint_.running_;
    hasSlot_ = true;
    std::uniform_int_distribution<int> draw(1, longestWorkMs);
    const std::size_t queued = endpoint_.running_ > slots ? endpoint_.running_ / slots : 0;
    timer_.expires_after(Milliseconds(draw(group_.random())) * (1 + queued) + endpoint_.faults_.extraWork);
    timer_.async_wait([weak = weak_from_this(), then = std::move(then)](std::error_code error) {
        const auto self = weak.lock();
        if (!self || error || self->isClosed_)
            return;
        then();
    });
}

void StandinConnection::runStatement(const std::string& id, bool isWrite, RunStatement run, const std::string& token)
{
    const bool isInTransaction = state_ == 'T';
    const bool hasLostLead = isInTransaction && !isReadOnly_ && (!leads() || group_.term() != term_);
    if (hasLostLead || (isWrite && (!leads() || (isInTransaction && isReadOnly_))))
        return fail("READONLY " + endpoint_.id().text());
    run.endpoint = endpoint_.id();
    run.connection = number_;
    run.values = values_;
    run.transaction = isInTransaction ? transaction_ : 0;
    run.log = &endpoint_.log();
    run.visible = endpoint_.visible(Clock::now());
    run.signature = "sig-" + std::to_string(group_.nextNumber());
    for (std::size_t count = group_.oddText().drawRows(); count > 0; --count)
        run.rows.push_back(
            group_.oddText().makeRow("row-" + id.substr(0, 8) + '-' + std::to_string(group_.nextNumber())));
    group_.checker().noteRun(id, run);
    const bool isLargeRead = !endpoint_.largeItems_.empty() && run.text.rfind("READ " + endpoint_.largeItems_, 0) == 0;
    if (isLargeRead)
        run.rows.insert(run.rows.end(), endpoint_.largeRows_.begin(), endpoint_.largeRows_.end());
    if (!isWrite || isInTransaction) {
        if (isWrite)
            written_.push_back(token);
        return complete(run.signature, run.rows, true);
    }
    group_.commit({ token }, [weak = weak_from_this(), signature = run.signature, rows = run.rows] {
        const auto self = weak.lock();
        if (self && !self->isClosed_)
            self->complete(signature, rows, true);
    });
}

void StandinConnection::runCommit(const std::string& id)
{
    if (state_ == 'I')
        return fail("MALFORMED no transaction");
    const bool hasFailed = state_ == 'E';
    state_ = 'I';
    if (hasFailed)
        return fail("ABORTED -");
    if (!written_.empty() && (!leads() || group_.term() != term_))
        return fail("READONLY " + endpoint_.id().text());
    RunStatement run;
    run.endpoint = endpoint_.id();
    run.connection = number_;
    run.text = "COMMIT";
    run.values = values_;
    run.transaction = transaction_;
    run.signature = "sig-" + std::to_string(group_.nextNumber());
    group_.checker().noteRun(id, run);
    transaction_ = 0;
    const std::vector<std::string> tokens = std::move(written_);
    written_.clear();
    if (tokens.empty())
        return complete(run.signature, {}, true);
    group_.commit(tokens, [weak = weak_from_this(), signature = run.signature] {
        const auto self = weak.lock();
        if (self && !self->isClosed_)
            self->complete(signature, {}, true);
    });
}

void StandinConnection::complete(const std::string& signature, const std::vector<std::string>& rows, bool mayBeLost)
{
    std::uniform_real_distribution<double> draw(0, 1);
    if (mayBeLost && draw(group_.random()) < endpoint_.faults_.lostAnswers)
        return close();
    std::string text;
    for (const std::string& row : rows)
        text += "DATAROW " + row + "\r\n";
    finish(text + "COMPLETE " + signature + "\r\n");
}

void StandinConnection::fail(const std::string& error)
{
    if (state_ == 'T')
        state_ = 'E';
    finish("ERROR " + error + "\r\n");
}

void StandinConnection::completeStatus()
{
    const std::string row = std::string(leads() ? "primary" : "replica") + ' ' + std::to_string(group_.term()) + ' '
        + formatPosition(endpoint_.received()) + ' ' + std::to_string(endpoint_.pausedIn_) + " 5 0 1";
    complete("-", { row }, false);
}

void StandinConnection::finish(std::string text)
{
    if (hasSlot_ && endpoint_.running_ > 0)
        --endpoint_.running_;
    hasSlot_ = false;
    text += readyLine();
    isBusy_ = false;
    answer(text);
    takeNext();
}

void StandinConnection::answer(const std::string& text)
{
    const EndpointFaults& faults = endpoint_.faults_;
    if (faults.cuts > 0 && group_.drawWireFault(faults.cuts)) {
        stream_->write(text.substr(0, group_.drawWireNumber(text.size() - 1)));
        stream_->finish();
        isClosed_ = true;
        return;
    }
    stream_->write(text);
    if (faults.repeats > 0 && group_.drawWireFault(faults.repeats))
        repeatLater(text);
}

void StandinConnection::repeatLater(const std::string& text)
{
    const auto timer = std::make_shared<asio::steady_timer>(group_.context());
    timer->expires_after(Milliseconds(group_.drawWireNumber(longestRepeatMs)));
    timer->async_wait([timer, weak = weak_from_this(), text](std::error_code) {
        const auto self = weak.lock();
        if (!self || self->isClosed_)
            return;
        self->group_.noteRepeat();
        self->stream_->write(text);
    });
}

std::string StandinConnection::readyLine()
{
    const std::size_t visible = endpoint_.visible(Clock::now());
    const LogPosition position = visible == 0 ? LogPosition {} : endpoint_.log()[visible - 1].position;
    return std::string("READY ") + state_ + ' ' + formatPosition(position) + "\r\n";
}

} // namespace almondlever::soak

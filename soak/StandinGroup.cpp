#include "StandinGroup.h"

#include "StandinConnection.h"

#include <algorithm>
#include <fmt/format.h>

namespace almondlever::soak {

namespace {

    constexpr Milliseconds longestDelay { 12000 };

} // namespace

std::uint64_t StandinGroup::nextNumber()
{
    static std::uint64_t last = 0;
    return ++last;
}

StandinEndpoint::StandinEndpoint(StandinGroup& group, EndpointId id)
    : group_(group)
    , id_(std::move(id))
    , acceptor_(group.context())
{
}

std::string StandinEndpoint::start(std::uint16_t port)
{
    port_ = port;
    std::error_code error;
    if (!acceptor_.is_open())
        bind(error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        std::error_code ignored;
        acceptor_.close(ignored);
        return error.message();
    }
    isUp_ = true;
    pausedIn_ = 0;
    accept();
    return {};
}

void StandinEndpoint::bind(std::error_code& error)
{
    acceptor_.open(asio::ip::tcp::v4(), error);
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    acceptor_.bind({ asio::ip::address_v4::loopback(), port_ }, error);
}

void StandinEndpoint::crash()
{
    std::error_code ignored;
    acceptor_.close(ignored);
    isUp_ = false;
    // The port stays taken; without listening it refuses connections.
    bind(ignored);
    const auto connections = std::move(connections_);
    connections_.clear();
    for (const auto& connection : connections)
        connection->close();
    running_ = 0;
}

void StandinEndpoint::forget()
{
    log_.clear();
    growth_.clear();
    applied_ = 0;
}

void StandinEndpoint::carryOut(const std::string& order, Term term)
{
    if (order == "PAUSE" && term > group_.term() && term > pausedIn_ && !group_.leads(*this))
        pausedIn_ = term;
    if (order == "RESUME")
        pausedIn_ = 0;
    if (order == "STEPDOWN")
        group_.stepDown(*this, term);
}

void StandinEndpoint::accept()
{
    acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        // A connection may end before it is accepted.
        if (!error) {
            const auto connection = std::make_shared<StandinConnection>(group_, *this, std::move(socket));
            connections_.insert(connection);
            group_.noteAccepted();
            connection->start();
        }
        accept();
    });
}

void StandinEndpoint::receive(const std::vector<LogEntry>& leading, TimePoint now)
{
    std::size_t common = std::min(log_.size(), leading.size());
    while (common > 0 && log_[common - 1].position != leading[common - 1].position)
        --common;
    applied_ = std::min(visible(now), common);
    log_.resize(common);
    while (!growth_.empty() && growth_.back().second > common)
        growth_.pop_back();
    if (leading.size() == common)
        return;
    log_.insert(log_.end(), leading.begin() + static_cast<std::ptrdiff_t>(common), leading.end());
    growth_.emplace_back(now, log_.size());
    while (growth_.size() > 1 && growth_[1].first + faults_.applyLag <= now)
        growth_.pop_front();
}

std::size_t StandinEndpoint::visible(TimePoint now)
{
    if (group_.leads(*this) || growth_.empty())
        applied_ = log_.size();
    // What was applied stays so, also when the lag grows.
    for (const auto& [at, grown] : growth_) {
        if (at + faults_.applyLag <= now)
            applied_ = std::max(applied_, grown);
    }
    return applied_;
}

StandinGroup::StandinGroup(
    asio::io_context& context, PromiseChecker& checker, GroupId id, std::uint64_t seed, OddData oddData)
    : context_(context)
    , checker_(checker)
    , id_(std::move(id))
    , random_(seed)
    , wireRandom_(seed)
    , oddText_(oddData, seed)
    , delayRandom_(seed)
{
}

StandinEndpoint& StandinGroup::add(const EndpointId& id)
{
    return *endpoints_.emplace(id, std::make_unique<StandinEndpoint>(*this, id)).first->second;
}

void StandinGroup::remove(const EndpointId& id)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    found->second->crash();
    endpoints_.erase(found);
}

void StandinGroup::loseLog(const EndpointId& id)
{
    StandinEndpoint* endpoint = find(id);
    if (!endpoint)
        return;
    endpoint->crash();
    endpoint->forget();
    if (!leads(*endpoint))
        return;
    leader_ = EndpointId();
    waiting_.clear();
}

StandinEndpoint* StandinGroup::find(const EndpointId& id)
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : found->second.get();
}

bool StandinGroup::promote(const EndpointId& id)
{
    StandinEndpoint* endpoint = find(id);
    if (!endpoint || !endpoint->isUp())
        return false;
    if (leader_ == id)
        return true;
    lead(*endpoint);
    checker_.checkLog(id_, "promotion of " + id.text() + " in term " + std::to_string(term_), endpoint->log());
    return true;
}

void StandinGroup::lead(StandinEndpoint& endpoint)
{
    ++term_;
    leader_ = endpoint.id();
    endpoint.endPause();
    // The former leader acknowledges nothing any more.
    waiting_.clear();
}

bool StandinGroup::acceptPromotion(const PromotionCall& call, Milliseconds effectDelay, TimePoint now)
{
    const StandinEndpoint* called = find(call.endpoint);
    if (call.fence < acceptedFence_ || !called || !called->isUp())
        return false;
    acceptedFence_ = call.fence;
    if (leads(*called))
        return true;
    runAt(now + effectDelay, [this, call, now] {
        const EndpointId& id = call.endpoint;
        StandinEndpoint* chosen = find(id);
        if (!chosen || !chosen->isUp() || leads(*chosen))
            return;
        lead(*chosen);
        const auto since
            = [this](TimePoint time) { return std::chrono::duration_cast<Milliseconds>(time - startedAt_).count(); };
        const TimePoint effectAt = Clock::now();
        const std::string promotion = fmt::format(
            "promotion of {} in term {} with a log up to {}, called by {} with fence {} at {} ms, accepted at {} ms, "
            "in effect at {} ms",
            id.text(), term_, formatPosition(chosen->received()), call.holder, call.fence, since(call.calledAt),
            since(now), since(effectAt));
        observer_(promotion);
        checker_.checkPromotion(id_, promotion, chosen->log(), effectAt);
    });
    return true;
}

std::optional<TimePoint> StandinGroup::drawLateTime(TimePoint now, Milliseconds shortest)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(delaysUntil_ - now);
    const Milliseconds longest = std::min(left, longestDelay);
    if (longest < shortest)
        return std::nullopt;
    std::uniform_int_distribution<std::int64_t> draw(shortest.count(), longest.count());
    return now + Milliseconds(draw(delayRandom_));
}

bool StandinGroup::delayOrder(StandinEndpoint& endpoint, const std::string& order, Term term)
{
    const auto at = drawLateTime(Clock::now());
    if (!drawDelay(endpoint.faults().lateOrders) || !at)
        return false;
    runAt(*at, [this, id = endpoint.id(), order, term] {
        StandinEndpoint* present = find(id);
        if (!present || !present->isUp())
            return;
        observer_(fmt::format("late {} {} at {}", order, term, id.text()));
        present->carryOut(order, term);
    });
    return true;
}

void StandinGroup::stepDown(const StandinEndpoint& endpoint, Term term)
{
    if (!leads(endpoint) || term <= term_)
        return;
    leader_ = EndpointId();
    waiting_.clear();
}

void StandinGroup::commit(std::vector<std::string> tokens, std::function<void()> onAcknowledged)
{
    StandinEndpoint* leading = find(leader_);
    if (!leading)
        return;
    const std::size_t index = leading->log().size() + 1;
    checker_.noteCommitted(id_, index, tokens, term_);
    leading->append({ { term_, index }, std::move(tokens) });
    waiting_.push_back({ term_, index, std::move(onAcknowledged) });
}

void StandinGroup::tick(TimePoint now)
{
    while (!tasks_.empty() && tasks_.begin()->first <= now) {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
    }
    StandinEndpoint* leading = find(leader_);
    if (!leading || !leading->isUp() || leading->faults().isDeaf)
        return;
    std::size_t received = 0;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint.get() == leading || !endpoint->isUp() || endpoint->isPaused() || endpoint->faults().isDeaf)
            continue;
        endpoint->receive(leading->log(), now);
        received = std::max(received, endpoint->log().size());
    }
    while (!waiting_.empty() && waiting_.front().size <= received) {
        checker_.noteAcknowledged(id_, leader_, leading->log()[waiting_.front().size - 1].tokens);
        const auto callback = std::move(waiting_.front().onAcknowledged);
        waiting_.pop_front();
        callback();
    }
}

} // namespace almondlever::soak

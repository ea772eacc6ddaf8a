#include "almondlever/serving/EndpointPool.h"

#include <algorithm>

namespace almondlever {

namespace {

    constexpr Milliseconds baseReopenDelay { 20 };
    constexpr Milliseconds maximumReopenDelay { 500 };

} // namespace

struct EndpointPool::State : std::enable_shared_from_this<EndpointPool::State> {
    State(EndpointConnector& endpointConnector, TimerService& timerService, std::string endpointAddress,
        EndpointPoolLimits poolLimits)
        : connector(endpointConnector)
        , timers(timerService)
        , address(std::move(endpointAddress))
        , limits(poolLimits)
    {
    }

    std::size_t size() const { return idle.size() + inUse + opening; }

    void openMissing()
    {
        while (isStarted && !isBackingOff && size() < limits.connections && opening < limits.opening)
            openOne();
    }

    void openOne()
    {
        ++opening;
        connector.open(address, claimEpoch, limits.openTimeout,
            [self = shared_from_this(), epoch = claimEpoch](EndpointResult<ConnectionPtr> opened) {
                --self->opening;
                if (opened)
                    self->onOpened(opened.value(), epoch);
                else
                    self->onOpenFailed();
            });
    }

    void onOpened(const ConnectionPtr& connection, std::uint64_t epoch)
    {
        failures = 0;
        if (!isStarted || epoch != claimEpoch)
            return connection->close();
        const std::weak_ptr<State> weak = weak_from_this();
        connection->onIdleClose([weak] {
            if (const auto self = weak.lock())
                self->removeClosed();
        });
        idle.push_back(connection);
        openMissing();
        notify();
    }

    void onOpenFailed()
    {
        ++failures;
        if (!isStarted)
            return;
        isBackingOff = true;
        const Duration delay = std::min<Duration>(maximumReopenDelay, baseReopenDelay * (1 << std::min(failures, 6)));
        timers.callAfter(delay, [self = shared_from_this()](TimePoint) {
            self->isBackingOff = false;
            self->openMissing();
        });
        notify();
    }

    void removeClosed()
    {
        idle.erase(
            std::remove_if(idle.begin(), idle.end(), [](const ConnectionPtr& c) { return !c->isOpen(); }), idle.end());
        openMissing();
    }

    void notify()
    {
        if (changeCallback)
            changeCallback(timers.now());
    }

    EndpointConnector& connector;
    TimerService& timers;
    std::string address;
    EndpointPoolLimits limits;
    std::function<void(TimePoint)> changeCallback;
    std::vector<ConnectionPtr> idle;
    std::size_t inUse = 0;
    std::size_t opening = 0;
    std::uint64_t claimEpoch = 0;
    int failures = 0;
    bool isStarted = false;
    bool isBackingOff = false;
};

EndpointPool::EndpointPool(
    EndpointConnector& connector, TimerService& timers, std::string address, EndpointPoolLimits limits)
    : state_(std::make_shared<State>(connector, timers, std::move(address), limits))
{
}

EndpointPool::~EndpointPool()
{
    state_->changeCallback = nullptr;
    stop();
}

void EndpointPool::onChange(std::function<void(TimePoint)> callback) { state_->changeCallback = std::move(callback); }

void EndpointPool::start(std::uint64_t claimEpoch)
{
    stop();
    state_->claimEpoch = claimEpoch;
    state_->isStarted = true;
    state_->openMissing();
}

void EndpointPool::stop()
{
    state_->isStarted = false;
    const auto idle = std::move(state_->idle);
    state_->idle.clear();
    for (const ConnectionPtr& connection : idle)
        connection->close();
}

EndpointPool::ConnectionPtr EndpointPool::acquireConnection()
{
    while (!state_->idle.empty()) {
        ConnectionPtr connection = std::move(state_->idle.back());
        state_->idle.pop_back();
        if (!connection->isOpen())
            continue;
        ++state_->inUse;
        return connection;
    }
    state_->openMissing();
    return nullptr;
}

void EndpointPool::returnConnection(const ConnectionPtr& connection)
{
    --state_->inUse;
    if (connection->isOpen() && state_->isStarted)
        state_->idle.push_back(connection);
    else
        connection->close();
    state_->openMissing();
}

std::size_t EndpointPool::size() const { return state_->size(); }

std::size_t EndpointPool::idleCount() const { return state_->idle.size(); }

bool EndpointPool::isUnreachable() const { return state_->failures > 0 && state_->idle.empty() && state_->inUse == 0; }

} // namespace almondlever

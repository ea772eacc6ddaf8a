#include "almondlever/control/ConfigurationWatcher.h"

#include "almondlever/observability/DecisionLog.h"

namespace almondlever {

struct ConfigurationWatcher::State : std::enable_shared_from_this<ConfigurationWatcher::State> {
    State(KeyValueService& service, TimerService& timerService, std::function<void(ConfigurationCandidate)> callback)
        : timers(timerService)
        , store(service,
              [this](Duration delay, std::function<void()> run) {
                  timers.callAfter(delay, [run = std::move(run)](TimePoint) { run(); });
              })
        , onCandidate(std::move(callback))
    {
    }

    using ReadResult = Result<std::optional<StoredConfiguration>, ConfigurationStoreError>;

    void onRead(const ReadResult& result)
    {
        isCalling = false;
        if (isStopped)
            return;
        if (!result) {
            nextCall = timers.now() + failureRetryDelay;
            logWarning("configuration_read_failed", { { "detail", result.error().detail } });
            return;
        }
        if (!result.value()) {
            // No change: watch again at once. No configuration stored yet: read again after a delay.
            nextCall = timers.now() + (headRevision == 0 ? Duration(failureRetryDelay) : Duration::zero());
            return;
        }
        const StoredConfiguration& stored = *result.value();
        headRevision = stored.headRevision;
        onCandidate({ stored.head.current.version, stored.bytes });
    }

    TimerService& timers;
    ConfigurationStore store;
    std::function<void(ConfigurationCandidate)> onCandidate;
    std::uint64_t headRevision = 0;
    TimePoint peerTimeoutEnd;
    TimePoint nextCall;
    bool isWatching = false;
    bool isKnown = false;
    bool isCalling = false;
    bool isStopped = false;
};

ConfigurationWatcher::ConfigurationWatcher(
    KeyValueService& service, TimerService& timers, std::function<void(ConfigurationCandidate)> onCandidate)
    : state_(std::make_shared<State>(service, timers, std::move(onCandidate)))
{
}

ConfigurationWatcher::~ConfigurationWatcher() { state_->isStopped = true; }

void ConfigurationWatcher::start(TimePoint now) { state_->peerTimeoutEnd = now + peerConfigurationTimeout; }

void ConfigurationWatcher::setWatching(bool isWatching) { state_->isWatching = isWatching; }

void ConfigurationWatcher::setConfigurationKnown() { state_->isKnown = true; }

void ConfigurationWatcher::onTick(TimePoint now)
{
    if (state_->isCalling || now < state_->nextCall)
        return;
    const bool isDueAtStart = !state_->isKnown && now >= state_->peerTimeoutEnd;
    if (!state_->isWatching && !isDueAtStart)
        return;
    state_->isCalling = true;
    const auto done = [state = state_](const State::ReadResult& result) { state->onRead(result); };
    if (state_->isWatching && state_->headRevision != 0)
        return state_->store.awaitChange(state_->headRevision, watchTimeout, done);
    state_->store.readNewest(done);
}

} // namespace almondlever

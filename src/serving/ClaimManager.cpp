#include "almondlever/serving/ClaimManager.h"

namespace almondlever {

namespace {

    constexpr Milliseconds requestTimeout { 500 };
    constexpr Milliseconds retryDelay { 30 };

} // namespace

struct ClaimManager::State : std::enable_shared_from_this<ClaimManager::State> {
    enum class Phase {
        Idle,
        Waiting,
        Acquiring,
        Held,
        Releasing,
    };

    State(EndpointControl& endpointControl, TimerService& timerService, VmId vm)
        : control(&endpointControl)
        , timers(timerService)
        , self(std::move(vm))
    {
    }

    void tryAcquire()
    {
        phase = Phase::Acquiring;
        control->status(requestTimeout,
            [state = shared_from_this()](const EndpointResult<EndpointStatus>& result) { state->onStatus(result); });
    }

    void onStatus(const EndpointResult<EndpointStatus>& result)
    {
        if (phase != Phase::Acquiring)
            return;
        const TimePoint now = timers.now();
        if (!result)
            return retryLater(now);
        const EndpointClaim& claim = result.value().claim;
        const bool isHeldByLivingOther
            = !claim.owner.isEmpty() && claim.owner != self && members.find(claim.owner) != nullptr;
        if (isHeldByLivingOther && now < acquiringSince + takeOverTimeout)
            return retryLater(now);
        control->claim(claim.epoch, self, requestTimeout,
            [state = shared_from_this()](const EndpointResult<EndpointStatus>& claimed) { state->onClaimed(claimed); });
    }

    void onClaimed(const EndpointResult<EndpointStatus>& result)
    {
        if (phase != Phase::Acquiring)
            return;
        if (!result || result.value().claim.owner != self)
            return retryLater(timers.now());
        phase = Phase::Held;
        epoch = result.value().claim.epoch;
        if (heldCallback)
            heldCallback(epoch, result.value());
    }

    void releaseClaim()
    {
        control->claim(
            epoch, VmId(), requestTimeout, [state = shared_from_this()](const EndpointResult<EndpointStatus>&) {
                // Also after a failure: the next owner then acquires the claim when its takeOverTimeout has passed.
                state->phase = Phase::Idle;
            });
    }

    void retryLater(TimePoint now)
    {
        phase = Phase::Waiting;
        nextAttempt = now + retryDelay;
    }

    EndpointControl* control;
    TimerService& timers;
    VmId self;
    MembershipView members;
    std::function<void(std::uint64_t, const EndpointStatus&)> heldCallback;
    Phase phase = Phase::Idle;
    std::uint64_t epoch = 0;
    TimePoint acquiringSince;
    TimePoint nextAttempt;
};

ClaimManager::ClaimManager(EndpointControl& control, TimerService& timers, VmId self)
    : state_(std::make_shared<State>(control, timers, std::move(self)))
{
}

ClaimManager::~ClaimManager()
{
    state_->heldCallback = nullptr;
    state_->phase = State::Phase::Idle;
}

void ClaimManager::onHeld(std::function<void(std::uint64_t, const EndpointStatus&)> callback)
{
    state_->heldCallback = std::move(callback);
}

void ClaimManager::acquire(const MembershipView& members, TimePoint now)
{
    state_->members = members;
    if (state_->phase != State::Phase::Idle)
        return;
    state_->acquiringSince = now;
    state_->tryAcquire();
}

void ClaimManager::setMembers(const MembershipView& members) { state_->members = members; }

void ClaimManager::onLost(TimePoint now)
{
    if (state_->phase != State::Phase::Held)
        return;
    state_->acquiringSince = now;
    state_->retryLater(now);
}

void ClaimManager::release()
{
    const bool wasHeld = state_->phase == State::Phase::Held;
    state_->phase = wasHeld ? State::Phase::Releasing : State::Phase::Idle;
    if (wasHeld)
        state_->releaseClaim();
}

void ClaimManager::onTick(TimePoint now)
{
    if (state_->phase == State::Phase::Waiting && now >= state_->nextAttempt)
        state_->tryAcquire();
}

bool ClaimManager::isHeld() const { return state_->phase == State::Phase::Held; }

bool ClaimManager::isIdle() const { return state_->phase == State::Phase::Idle; }

std::uint64_t ClaimManager::epoch() const { return state_->epoch; }

} // namespace almondlever

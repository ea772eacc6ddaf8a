#include "almondlever/serving/ClaimKeeper.h"

namespace almondlever {

namespace {

    constexpr Milliseconds requestTimeout { 500 };
    constexpr Milliseconds attemptPause { 30 };

} // namespace

struct ClaimKeeper::State : std::enable_shared_from_this<ClaimKeeper::State> {
    enum class Phase {
        Idle,
        Wanted,
        Asking,
        Held,
        Releasing,
    };

    State(EndpointControl& endpointControl, TimerService& timerService, VmId vm)
        : control(&endpointControl)
        , timers(timerService)
        , self(std::move(vm))
    {
    }

    void ask()
    {
        phase = Phase::Asking;
        control->status(requestTimeout,
            [state = shared_from_this()](const EndpointResult<EndpointStatus>& result) { state->onStatus(result); });
    }

    void onStatus(const EndpointResult<EndpointStatus>& result)
    {
        if (phase != Phase::Asking)
            return;
        const TimePoint now = timers.now();
        if (!result)
            return pause(now);
        const EndpointClaim& claim = result.value().claim;
        const bool isHeldByLivingOther
            = !claim.owner.isEmpty() && claim.owner != self && members.find(claim.owner) != nullptr;
        if (isHeldByLivingOther && now < wantedSince + takeOverPatience)
            return pause(now);
        control->claim(claim.epoch, self, requestTimeout,
            [state = shared_from_this()](const EndpointResult<EndpointStatus>& claimed) { state->onClaimed(claimed); });
    }

    void onClaimed(const EndpointResult<EndpointStatus>& result)
    {
        if (phase != Phase::Asking)
            return;
        if (!result || result.value().claim.owner != self)
            return pause(timers.now());
        phase = Phase::Held;
        epoch = result.value().claim.epoch;
        if (heldCallback)
            heldCallback(epoch, result.value());
    }

    void releaseClaim()
    {
        control->claim(
            epoch, VmId(), requestTimeout, [state = shared_from_this()](const EndpointResult<EndpointStatus>&) {
                // A lost answer or an unreachable endpoint leaves the claim to the next owner's patience.
                state->phase = Phase::Idle;
            });
    }

    void pause(TimePoint now)
    {
        phase = Phase::Wanted;
        nextAttempt = now + attemptPause;
    }

    EndpointControl* control;
    TimerService& timers;
    VmId self;
    MembershipView members;
    std::function<void(std::uint64_t, const EndpointStatus&)> heldCallback;
    Phase phase = Phase::Idle;
    std::uint64_t epoch = 0;
    TimePoint wantedSince;
    TimePoint nextAttempt;
};

ClaimKeeper::ClaimKeeper(EndpointControl& control, TimerService& timers, VmId self)
    : state_(std::make_shared<State>(control, timers, std::move(self)))
{
}

ClaimKeeper::~ClaimKeeper()
{
    state_->heldCallback = nullptr;
    state_->phase = State::Phase::Idle;
}

void ClaimKeeper::onHeld(std::function<void(std::uint64_t, const EndpointStatus&)> callback)
{
    state_->heldCallback = std::move(callback);
}

void ClaimKeeper::acquire(const MembershipView& members, TimePoint now)
{
    state_->members = members;
    if (state_->phase != State::Phase::Idle)
        return;
    state_->wantedSince = now;
    state_->ask();
}

void ClaimKeeper::setMembers(const MembershipView& members) { state_->members = members; }

void ClaimKeeper::onLost(TimePoint now)
{
    if (state_->phase != State::Phase::Held)
        return;
    state_->wantedSince = now;
    state_->pause(now);
}

void ClaimKeeper::release()
{
    const bool wasHeld = state_->phase == State::Phase::Held;
    state_->phase = wasHeld ? State::Phase::Releasing : State::Phase::Idle;
    if (wasHeld)
        state_->releaseClaim();
}

void ClaimKeeper::onTick(TimePoint now)
{
    if (state_->phase == State::Phase::Wanted && now >= state_->nextAttempt)
        state_->ask();
}

bool ClaimKeeper::isHeld() const { return state_->phase == State::Phase::Held; }

bool ClaimKeeper::isIdle() const { return state_->phase == State::Phase::Idle; }

std::uint64_t ClaimKeeper::epoch() const { return state_->epoch; }

} // namespace almondlever

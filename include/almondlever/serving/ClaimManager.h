#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/endpoints/EndpointConnection.h"
#include "almondlever/membership/MembershipView.h"

#include <functional>
#include <memory>

namespace almondlever {

/**
 * Acquires, holds and releases the claim on one endpoint, which entitles a single daemon to use the endpoint.
 *
 * A free claim, or one whose holder the membership view does not list, is acquired at once. While the holder is alive,
 * the new owner waits for its release for at most takeOverTimeout, since the holder may still finish work.
 */
class ClaimManager {
public:
    /** Longest time to wait until a holder that is alive releases the claim. */
    static constexpr Milliseconds takeOverTimeout { 2000 };

    ClaimManager(EndpointControl&, TimerService&, VmId self);
    ~ClaimManager();
    ClaimManager(const ClaimManager&) = delete;
    ClaimManager& operator=(const ClaimManager&) = delete;

    /** Sets the callback for each acquisition of the claim; it gets the epoch and the endpoint's status. */
    void onHeld(std::function<void(std::uint64_t epoch, const EndpointStatus&)>);
    /** Starts to acquire the claim, unless it is held, being acquired or being released. */
    void acquire(const MembershipView&, TimePoint now);
    /** Sets the view that tells which holders are alive. */
    void setMembers(const MembershipView&);
    /** To be called when the endpoint refuses a statement because the claim was lost; acquires it again. */
    void onLost(TimePoint now);
    /** Releases the claim for another owner; isIdle() returns true once that is done. */
    void release();
    /** Makes the next attempt to acquire the claim when it is due. */
    void onTick(TimePoint now);

    bool isHeld() const;
    /** True when the claim is neither held nor being acquired, and its release was answered or timed out. */
    bool isIdle() const;
    std::uint64_t epoch() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever

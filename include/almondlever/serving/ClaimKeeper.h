#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/endpoints/EndpointConnection.h"
#include "almondlever/membership/MembershipView.h"

#include <functional>
#include <memory>

namespace almondlever {

/**
 * Takes and keeps the claim on one endpoint.
 *
 * A claim is taken at once when nobody holds it or its holder is not believed to live. While its holder lives, the new
 * owner waits for the release, at most takeOverPatience, since the holder may still finish work.
 */
class ClaimKeeper {
public:
    /** Longest wait for a living holder to release. */
    static constexpr Milliseconds takeOverPatience { 2000 };

    ClaimKeeper(EndpointControl&, TimerService&, VmId self);
    ~ClaimKeeper();
    ClaimKeeper(const ClaimKeeper&) = delete;
    ClaimKeeper& operator=(const ClaimKeeper&) = delete;

    /** Called with the epoch when the claim is held. */
    void onHeld(std::function<void(std::uint64_t epoch, const EndpointStatus&)>);
    /** Starts to take the claim. */
    void acquire(const MembershipView&, TimePoint now);
    /** Uses newer beliefs about who lives. */
    void setMembers(const MembershipView&);
    /** The endpoint refused a statement because of the claim; takes it again. */
    void onLost(TimePoint now);
    /** Gives the claim up for another owner; isIdle tells when that is done. */
    void release();
    /** Makes the next attempt when it is due. */
    void onTick(TimePoint now);

    bool isHeld() const;
    /** True when the claim is neither held nor wanted, and a release was answered or timed out. */
    bool isIdle() const;
    std::uint64_t epoch() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever

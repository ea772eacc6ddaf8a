#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>
#include <optional>

namespace almondlever {

/** Settings for health checks of the owners that a daemon forwards statements to. */
struct OwnerHealthSettings {
    /** An owner with unanswered statements that has sent nothing for this long is probed. */
    Milliseconds probeAfter { 100 };
    /** An owner that has not answered a probe within this time is unresponsive. About ten round trips between regions.
     */
    Milliseconds probeTimeout { 250 };
    /** Delay before an unresponsive owner is probed again; doubles up to maximumProbeDelay. */
    Milliseconds initialProbeDelay { 250 };
    Milliseconds maximumProbeDelay { 4000 };
};

/**
 * Health of an owner. A statement may take as long as its time-out, so the age of unanswered statements does not show
 * whether the owner is alive; but it answers a probe at once.
 */
class OwnerHealth {
public:
    explicit OwnerHealth(const OwnerHealthSettings& settings = {})
        : settings_(settings)
    {
    }

    /** A statement was sent to the owner. */
    void recordSent(TimePoint now);
    /** A statement that was sent to the owner was answered, abandoned or moved to another owner. */
    void recordEnded();
    /** A message of the owner arrived. */
    void recordMessage(TimePoint now);
    /** The channel to the owner failed, or an answer did not arrive in time. */
    void recordFailure(TimePoint now);
    /** Number of statements that the owner has not answered. */
    std::size_t running() const { return running_; }
    /** False from recordFailure() or a probe's time-out until a message of the owner arrives. */
    bool isUsable() const { return !isUnresponsive_; }
    /** True when a probe is due; the caller sends it and calls recordProbe(). */
    bool isProbeDue(TimePoint now) const;
    /** True while a probe is unanswered. */
    bool isProbePending() const { return probedAt_.has_value(); }
    void recordProbe(TimePoint now);
    /** Restarts the time-outs, because this process was suspended and could not receive messages. */
    void restartTimeouts(TimePoint now);
    /** Checks the time-out of an unanswered probe; returns true when the owner has just become unresponsive. */
    bool checkProbeTimeout(TimePoint now);

private:
    void increaseProbeDelay();

    OwnerHealthSettings settings_;
    std::size_t running_ = 0;
    /** When the last message of the owner arrived or, if later, the first of its unanswered statements was sent. */
    TimePoint lastActivityAt_ {};
    /** Send time of the unanswered probe. */
    std::optional<TimePoint> probedAt_;
    bool isUnresponsive_ = false;
    TimePoint nextProbeAt_ {};
    Milliseconds probeDelay_ { 0 };
};

} // namespace almondlever

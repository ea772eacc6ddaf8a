#pragma once

#include "PooledLink.h"
#include "almondlever/failover/FailureConfirmation.h"
#include "almondlever/pooling/SharedWindow.h"

#include <vector>

namespace almondlever {

/** How the pool judges endpoints. */
struct EndpointHealthSettings {
    /** No answer to anything for this long while something waits. Twice the longest statement under a full queue. */
    Milliseconds silenceLimit { 900 };
    /** As silenceLimit, for commands that take no slot: many round trips between regions. */
    Milliseconds quickSilenceLimit { 400 };
    /** A command that takes no slot and has no answer for this long bears out another daemon's doubt. */
    Milliseconds sharedDoubt { 100 };
    /** Connections fail for this long while none is open; covers a second attempt after the first pause. */
    Milliseconds failureLimit { 150 };
    /**
     * As failureLimit, for an endpoint that this process never reached: after the loss of many VMs an endpoint may take
     * seconds until it accepts the restarted daemons.
     */
    Milliseconds firstFailureLimit { 3000 };
    /** Pause after a failed attempt to connect; doubles up to the longest pause. */
    Milliseconds firstConnectPause { 60 };
    Milliseconds longestConnectPause { 1000 };
    /** Pause after the endpoint refused a connection because it has too many; doubles up to the longest pause. */
    Milliseconds tooManyPause { 150 };
    /** An endpoint that did not have a position is not asked for a later one again before this. */
    Milliseconds laggingPause { 120 };
    /** Pause after the endpoint refused a statement because its queue is full. */
    Milliseconds busyPause { 30 };
};

/** The connections to one endpoint, and what its answers show of its health and position. */
class EndpointLinks {
public:
    EndpointLinks(EndpointId id, const EndpointHealthSettings& settings)
        : id_(std::move(id))
        , settings_(settings)
    {
    }

    const EndpointId& id() const { return id_; }
    std::vector<std::shared_ptr<PooledLink>>& links() { return links_; }

    /** Removes and returns a connection that has been idle since a time or longer; nullptr when there is none. */
    std::shared_ptr<PooledLink> takeIdleSince(TimePoint);
    void noteOpened(TimePoint now);
    void noteReply(const Reply&, TimePoint now);
    void noteClosed(std::optional<StatementError> refusal, bool wasOpening, TimePoint now);
    void noteLagging(TimePoint now) { laggingUntil_ = now + settings_.laggingPause; }
    void noteBusy(TimePoint now)
    {
        busyUntil_ = now + settings_.busyPause;
        window_.noteRefusal(now);
    }
    void noteStarted() { ++running_; }
    /** A statement ended; the latency is that of an answer, if there was one. */
    void noteEnded(std::optional<Duration> latency, TimePoint now)
    {
        if (latency)
            window_.noteAnswer(*latency, running_, now);
        if (running_ > 0)
            --running_;
    }
    SharedWindow& window() { return window_; }
    /** Statements that the endpoint has not answered. */
    std::size_t running() const { return running_; }
    /** One more statement may run. */
    bool hasRoom(bool isUrgent, TimePoint now) const { return window_.allows(running_, isUrgent, now); }
    /** Silence before this does not count, because this process did not run. */
    void forgiveSilence(TimePoint now) { lastReplyAt_ = now; }
    /** What another daemon may rely on that doubts the endpoint and had no answer since a time. */
    PrimaryOpinion opinionSince(TimePoint, TimePoint now) const;

    /** The idle connection that needs the fewest commands for the session; nullptr when none is idle. */
    std::shared_ptr<PooledLink> findIdle(const SessionContents&);
    std::size_t count(PooledLink::State) const;
    /** Connections that are open or being opened. */
    std::size_t openCount() const;
    bool mayConnect(TimePoint now) const { return now >= connectAfter_; }
    /** Every connection is open and idle. */
    bool isAtRest() const { return !links_.empty() && count(PooledLink::State::Idle) == links_.size(); }
    /** A command that is answered at once has no answer, although the endpoint answered on another connection since. */
    bool hasLostAnswer(const PooledLink&, TimePoint now) const;
    /** Something waits, and nothing was answered for a while; the first sign of a failure. */
    bool isQuiet(TimePoint now) const;
    /** The endpoint probably does not answer. */
    bool isSuspect(TimePoint now) const;
    /** Time of the first sign of the present failure; nullopt while healthy. */
    std::optional<TimePoint> suspectSince(TimePoint now) const;
    bool isBusy(TimePoint now) const { return now < busyUntil_; }
    bool wasLaggingLately(TimePoint now) const { return now < laggingUntil_; }
    Duration latency() const { return window_.latency(); }
    const LogPosition& position() const { return position_; }

private:
    std::optional<TimePoint> waitingSince() const;
    std::optional<TimePoint> quickCommandSince() const;

    EndpointId id_;
    EndpointHealthSettings settings_;
    std::vector<std::shared_ptr<PooledLink>> links_;
    SharedWindow window_;
    std::size_t running_ = 0;
    bool wasOpen_ = false;
    LogPosition position_;
    TimePoint lastReplyAt_ {};
    /** As lastReplyAt_, without forgiven silence. */
    TimePoint heardAt_ {};
    std::optional<TimePoint> failingSince_;
    TimePoint connectAfter_ {};
    TimePoint laggingUntil_ {};
    TimePoint busyUntil_ {};
    Milliseconds connectPause_ { 0 };
};

} // namespace almondlever

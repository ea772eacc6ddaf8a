#pragma once

#include "PooledLink.h"
#include "almondlever/capacity/EndpointCapacity.h"
#include "almondlever/failover/FailureConfirmation.h"
#include "almondlever/pooling/SharedWindow.h"

#include <vector>

namespace almondlever {

/** Thresholds for detecting failed endpoints, and delays before they are used again. */
struct EndpointHealthSettings {
    /**
     * Time without any reply, while one is awaited, that indicates a failure: twice the duration of the longest
     * statement while the endpoint's queue is full.
     */
    Milliseconds silenceLimit { 900 };
    /** As silenceLimit, for commands that the endpoint runs without a slot; many round trips between regions. */
    Milliseconds slotFreeSilenceLimit { 400 };
    /** Time without a reply to a command that needs no slot, after which another daemon's suspicion is confirmed. */
    Milliseconds suspicionConfirmationTime { 100 };
    /** Time without an open connection that indicates a failure; long enough for a second attempt to connect. */
    Milliseconds failureLimit { 150 };
    /**
     * As failureLimit, for an endpoint that this process never reached: after the loss of many VMs, an endpoint may
     * take seconds to accept the restarted daemons.
     */
    Milliseconds firstFailureLimit { 3000 };
    /** Delay after a failed attempt to connect; doubles up to maximumConnectBackoff. */
    Milliseconds initialConnectBackoff { 60 };
    Milliseconds maximumConnectBackoff { 1000 };
    /** Delay after the endpoint refused a connection as too many; doubles up to maximumConnectBackoff. */
    Milliseconds tooManyConnectionsBackoff { 150 };
    /**
     * Time for which an endpoint that refused a read as lagging gets no reads that require a later position than the
     * last one that it reported.
     */
    Milliseconds laggingPause { 120 };
    /** Delay after the endpoint refused a statement because its queue is full. */
    Milliseconds busyPause { 30 };
};

/** The connections to one endpoint, with its health and log position as derived from its replies. */
class EndpointLinks {
public:
    EndpointLinks(EndpointId id, const EndpointHealthSettings& settings)
        : id_(std::move(id))
        , settings_(settings)
    {
    }

    const EndpointId& id() const { return id_; }
    std::vector<std::shared_ptr<PooledLink>>& links() { return links_; }

    /** Removes and returns a connection that has been idle since the given time or longer; nullptr if none has. */
    std::shared_ptr<PooledLink> takeIdleSince(TimePoint);
    void noteOpened(const PooledLink&, TimePoint now);
    void noteReply(const Reply&, TimePoint now);
    void noteClosed(std::optional<StatementError> refusal, bool wasOpening, TimePoint now);
    void noteLagging(TimePoint now) { laggingUntil_ = now + settings_.laggingPause; }
    void noteBusy(TimePoint now)
    {
        busyUntil_ = now + settings_.busyPause;
        window_.noteRefusal(now);
    }
    void noteStarted() { ++running_; }
    /** Records the end of a statement, with its latency if it was answered. */
    void noteEnded(std::optional<Duration> latency, TimePoint now)
    {
        if (latency)
            window_.noteAnswer(*latency, running_, now);
        if (running_ > 0)
            --running_;
    }
    SharedWindow& window() { return window_; }
    /** Replaces the window by the learned capacity; it must outlive this object. */
    void setCapacity(EndpointCapacity* capacity) { capacity_ = capacity; }
    void setMaximum(std::size_t connections)
    {
        window_.setMaximum(connections);
        if (capacity_)
            capacity_->setMaximum(connections);
    }
    /** Average number of statements that may run. */
    double windowSize() const { return capacity_ ? capacity_->window() : window_.size(); }
    /** Statements that the endpoint has not answered. */
    std::size_t running() const { return running_; }
    /** True if the window admits another statement. */
    bool hasRoom(bool isUrgent, TimePoint now) const
    {
        return capacity_ ? capacity_->allows(running_, isUrgent, now) : window_.allows(running_, isUrgent, now);
    }
    /** Ignores silence before this time, because this process was suspended. */
    void ignoreSilenceBefore(TimePoint now) { lastReplyAt_ = now; }
    bool hasRepliedSince(TimePoint since) const { return lastActualReplyAt_ > since; }
    /** Whether the endpoint answers this daemon; asked by another daemon, which got no answer since the given time. */
    PrimaryOpinion opinionSince(TimePoint, TimePoint now) const;

    /** The customer's idle connection that needs the fewest commands for the session; nullptr when none is idle. */
    std::shared_ptr<PooledLink> findIdle(const SessionContents&, const CustomerId&) const;
    /** An idle connection for a command of the proxy, whichever customer it belongs to; nullptr when none is idle. */
    std::shared_ptr<PooledLink> findIdle() const;
    bool hasIdle(const CustomerId&) const;
    /** Removes and returns the connection that has been idle for the longest time; nullptr if none is. */
    std::shared_ptr<PooledLink> takeLongestIdle();
    /** Smoothed time that opening a connection takes. */
    Duration openingTime() const { return openingTime_; }
    std::size_t count(PooledLink::State) const;
    /** Connections that are open or being opened. */
    std::size_t openCount() const;
    bool mayConnect(TimePoint now) const { return now >= connectAfter_; }
    /** True if all connections are open and idle, and there is at least one. */
    bool areAllIdle() const { return !links_.empty() && count(PooledLink::State::Idle) == links_.size(); }
    /** True if a command that needs no slot is unanswered, although the endpoint has replied on another connection. */
    bool hasLostAnswer(const PooledLink&, TimePoint now) const;
    /** True if a reply is awaited and none arrived for slotFreeSilenceLimit: the first sign of a failure. */
    bool isSilent(TimePoint now) const;
    /** True if the endpoint has probably failed. */
    bool isSuspect(TimePoint now) const;
    /** Time of the first sign of the current failure; nullopt while healthy. */
    std::optional<TimePoint> suspectSince(TimePoint now) const;
    bool isBusy(TimePoint now) const { return now < busyUntil_; }
    bool wasLaggingLately(TimePoint now) const { return now < laggingUntil_; }
    Duration latency() const { return window_.latency(); }
    const LogPosition& position() const { return position_; }

private:
    /** Start of the oldest unanswered command or unfinished attempt to connect. */
    std::optional<TimePoint> waitingSince() const;
    /** As waitingSince(), only for commands that need no slot. */
    std::optional<TimePoint> slotFreeCommandSince() const;

    EndpointId id_;
    EndpointHealthSettings settings_;
    std::vector<std::shared_ptr<PooledLink>> links_;
    SharedWindow window_;
    EndpointCapacity* capacity_ = nullptr;
    std::size_t running_ = 0;
    bool wasOpen_ = false;
    LogPosition position_;
    TimePoint lastReplyAt_ {};
    /** As lastReplyAt_, but not advanced by ignoreSilenceBefore(). */
    TimePoint lastActualReplyAt_ {};
    /** Time of the first lost connection or failed attempt to connect since the last reply. */
    std::optional<TimePoint> failingSince_;
    TimePoint connectAfter_ {};
    TimePoint laggingUntil_ {};
    TimePoint busyUntil_ {};
    Milliseconds connectBackoff_ { 0 };
    Duration openingTime_ { 0 };
};

} // namespace almondlever

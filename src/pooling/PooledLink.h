#pragma once

#include "ReplyMatcher.h"
#include "almondlever/pooling/EndpointLink.h"
#include "almondlever/pooling/LinkContents.h"
#include "almondlever/pooling/StatementRequest.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace almondlever {

class PooledLink;

/** Receives the events of pooled connections. */
class PooledLinkOwner {
public:
    virtual ~PooledLinkOwner() = default;

    virtual void onPooledLinkOpened(PooledLink&, const Reply&, TimePoint now) = 0;
    /** Called before the handler of the command. */
    virtual void onPooledLinkReply(PooledLink&, const Reply&, TimePoint now) = 0;
    /** Called for a reply that is not taken for the answer to the oldest command, or not at once. */
    virtual void onUnmatchedReply(PooledLink&, ReplyMatch, const Reply&, TimePoint now) = 0;
    /** Called after the handlers of unanswered commands have been called. */
    virtual void onPooledLinkClosed(
        PooledLink&, const std::string& reason, std::optional<StatementError> refusal, TimePoint now)
        = 0;
};

/**
 * A connection to an endpoint, with the session state set on it and the commands that await replies.
 *
 * @see LinkContents
 */
class PooledLink final : public EndpointLinkObserver, public std::enable_shared_from_this<PooledLink> {
public:
    /** Receives the reply, or nullptr if the connection was closed first. */
    using ReplyHandler = std::function<void(const Reply*, TimePoint now)>;

    enum class State {
        Opening,
        Idle,
        /** Runs a statement or a command of the proxy. */
        Busy,
        /** Reserved for a session's open transaction; no statement runs. */
        InTransaction,
        Closed,
    };

    PooledLink(PooledLinkOwner& owner, EndpointId endpoint, CustomerId customer, TimePoint now)
        : owner_(&owner)
        , endpoint_(std::move(endpoint))
        , customer_(std::move(customer))
        , openedAt_(now)
        , stateSince_(now)
    {
    }

    void attach(std::shared_ptr<EndpointLink> link) { link_ = std::move(link); }
    void send(const EndpointCommand&, ReplyHandler, TimePoint now);
    /**
     * Time at which the oldest unanswered command was sent, if it is one that an endpoint answers at once, without a
     * slot.
     */
    std::optional<TimePoint> slotFreeCommandSince() const;
    /** Closes the connection, calls the pending handlers with nullptr and notifies the owner. */
    void close(const std::string& reason, TimePoint now);
    /** Closes the connection without calling handlers or the owner. */
    void abandon();

    void onLinkOpened(const Reply&, TimePoint now) override;
    void onLinkReply(Reply&&, TimePoint now) override;
    void onLinkClosed(const std::string& reason, std::optional<StatementError>, TimePoint now) override;

    const EndpointId& endpoint() const { return endpoint_; }
    /** The customer whose statements may run on it; empty for the proxy's own, or where callers need no key. */
    const CustomerId& customer() const { return customer_; }
    State state() const { return state_; }
    void setState(State state, TimePoint now)
    {
        state_ = state;
        stateSince_ = now;
        if (state == State::Idle)
            ++idlePeriods_;
    }
    /** Number of times that the connection was returned to the pool; it is idle between two transactions. */
    std::uint64_t idlePeriods() const { return idlePeriods_; }
    /** Time at which the state was entered. */
    TimePoint stateSince() const { return stateSince_; }
    LinkContents& contents() { return contents_; }
    /**
     * Number of repeated replies that may have been taken for the answer to a command of the proxy. Unless it stays the
     * same, the position in such an answer may be older than the command.
     */
    std::size_t displacements() const { return displacements_; }
    bool hasSeenRepetitions() const { return hasSeenRepetitions_; }
    /** True if the answer that is being handled equals an earlier reply, and may be a repetition of it. */
    bool isLastAnswerLikely() const { return isLastAnswerLikely_; }
    /** The oldest command without an answer; nullptr if there is none. */
    const UnansweredCommand* oldestCommand() const
    {
        return pendingReplies_.empty() ? nullptr : &pendingReplies_.front().command;
    }
    bool isWaiting() const { return !pendingReplies_.empty(); }
    /** Time at which the oldest unanswered command was sent. Call only while waiting. */
    TimePoint waitingSince() const { return pendingReplies_.front().sentAt; }
    /** Time at which connecting started. */
    TimePoint openedAt() const { return openedAt_; }
    /** True if the connection was established at some time. */
    bool wasOpened() const { return wasOpened_; }

private:
    /** Number of transactions that a probe begins and rolls back; as many repetitions in a row would be mistaken. */
    static constexpr std::size_t probeRounds = 2;

    struct PendingReply {
        ReplyHandler handler;
        TimePoint sentAt;
        UnansweredCommand command;
    };

    /** Passes the reply to the handler of the oldest command. */
    void deliver(const Reply&, TimePoint now);
    /**
     * Keeps a reply that may be a repetition and sends a probe behind its command: if the probe's answers follow, the
     * reply was the answer. Otherwise the answer comes before them.
     */
    void hold(Reply&&, TimePoint now);
    /** Judges a reply that comes while another one is held; returns false if it is none of the probe's answers. */
    bool continueProbe(const Reply&, TimePoint now);
    void holdSecond(const Reply&, TimePoint now);
    /** Passes on the held reply and the answers of the probe. */
    void deliverHeld(TimePoint now);
    void sendIgnored(EndpointCommand::Kind, TimePoint now);
    void finishClosed(const std::string& reason, std::optional<StatementError>, TimePoint now);

    PooledLinkOwner* owner_;
    EndpointId endpoint_;
    CustomerId customer_;
    std::shared_ptr<EndpointLink> link_;
    LinkContents contents_;
    State state_ = State::Opening;
    std::deque<PendingReply> pendingReplies_;
    ReplyMatcher matcher_;
    /** An uncertain reply to the oldest command. */
    std::optional<Reply> heldReply_;
    /** Replies that look like the answers of the probe behind the held one, so far. */
    std::vector<Reply> probeReplies_;
    bool isLastAnswerLikely_ = false;
    std::size_t displacements_ = 0;
    bool hasSeenRepetitions_ = false;
    TimePoint openedAt_;
    TimePoint stateSince_;
    std::uint64_t idlePeriods_ = 0;
    bool wasOpened_ = false;
};

} // namespace almondlever

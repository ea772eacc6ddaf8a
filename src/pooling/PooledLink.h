#pragma once

#include "almondlever/pooling/EndpointLink.h"
#include "almondlever/pooling/LinkContents.h"
#include "almondlever/pooling/StatementRequest.h"

#include <deque>
#include <functional>

namespace almondlever {

class PooledLink;

/** Hears what concerns the pool about its links. */
class PooledLinkOwner {
public:
    virtual ~PooledLinkOwner() = default;

    virtual void onPooledLinkOpened(PooledLink&, const Reply&, TimePoint now) = 0;
    /** Called before the reply's own handler. */
    virtual void onPooledLinkReply(PooledLink&, const Reply&, TimePoint now) = 0;
    /** Called after the handlers of unanswered commands. */
    virtual void onPooledLinkClosed(
        PooledLink&, const std::string& reason, std::optional<StatementError> refusal, TimePoint now)
        = 0;
};

/**
 * A connection to an endpoint with its contents and the commands that wait for replies.
 *
 * @see LinkContents
 */
class PooledLink final : public EndpointLinkObserver,
                         public OpenTransaction,
                         public std::enable_shared_from_this<PooledLink> {
public:
    /** Gets the reply, or nullptr when the connection closed before it. */
    using ReplyHandler = std::function<void(const Reply*, TimePoint now)>;

    enum class State {
        Opening,
        Idle,
        /** A statement or a command of the proxy runs. */
        Busy,
        /** Belongs to a session's transaction and runs nothing. */
        InTransaction,
        Closed,
    };

    PooledLink(PooledLinkOwner& owner, EndpointId endpoint, TimePoint now)
        : owner_(&owner)
        , endpoint_(std::move(endpoint))
        , openedAt_(now)
        , stateSince_(now)
    {
    }

    void attach(std::shared_ptr<EndpointLink> link) { link_ = std::move(link); }
    void send(const EndpointCommand&, ReplyHandler, TimePoint now);
    /** When the oldest unanswered command was sent that an endpoint answers at once, without a slot. */
    std::optional<TimePoint> quickCommandSince() const;
    /** Closes; unanswered handlers get nullptr and the owner hears of it. */
    void close(const std::string& reason, TimePoint now);
    /** Closes without calling anything. */
    void abandon();

    void onLinkOpened(const Reply&, TimePoint now) override;
    void onLinkReply(Reply&&, TimePoint now) override;
    void onLinkClosed(const std::string& reason, std::optional<StatementError>, TimePoint now) override;

    const EndpointId& endpoint() const { return endpoint_; }
    State state() const { return state_; }
    void setState(State state, TimePoint now)
    {
        state_ = state;
        stateSince_ = now;
    }
    /** When the state was entered. */
    TimePoint stateSince() const { return stateSince_; }
    LinkContents& contents() { return contents_; }
    bool isWaiting() const { return !awaiting_.empty(); }
    /** Time at which the oldest unanswered command was sent. Call only while waiting. */
    TimePoint waitingSince() const { return awaiting_.front().sentAt; }
    /** Time at which the connection was ordered. */
    TimePoint openedAt() const { return openedAt_; }
    /** False when the connection was never established. */
    bool wasOpened() const { return wasOpened_; }

private:
    struct Awaited {
        ReplyHandler handler;
        TimePoint sentAt;
        bool isQuick = false;
    };

    void finishClosed(const std::string& reason, std::optional<StatementError>, TimePoint now);

    PooledLinkOwner* owner_;
    EndpointId endpoint_;
    std::shared_ptr<EndpointLink> link_;
    LinkContents contents_;
    State state_ = State::Opening;
    std::deque<Awaited> awaiting_;
    TimePoint openedAt_;
    TimePoint stateSince_;
    bool wasOpened_ = false;
};

} // namespace almondlever

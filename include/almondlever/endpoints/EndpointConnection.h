#pragma once

#include "almondlever/endpoints/EndpointMessages.h"

#include <functional>
#include <memory>

namespace almondlever {

/**
 * One connection to an endpoint server, with one statement in flight at a time.
 *
 * Each callback is invoked exactly once, on the thread that made the call. After ConnectionLost or TimedOut the
 * connection is closed and must be discarded, because the state of the session on the server is unknown.
 *
 * @see EndpointConnector, docs/ENDPOINT_CONTRACT.md
 */
class EndpointConnection {
public:
    using ReplyCallback = std::function<void(EndpointResult<EndpointReply>)>;

    virtual ~EndpointConnection() = default;

    /** Runs a statement, inside the open transaction if there is one. */
    virtual void execute(const EndpointStatement&, Duration timeout, ReplyCallback) = 0;
    /** Begins a transaction under a term and claim; later statements on this connection belong to it. */
    virtual void begin(const EndpointStatement& header, Duration timeout, ReplyCallback) = 0;
    /** Commits the open transaction; the reply's position is that of its last write. */
    virtual void commit(const EndpointStatement& header, Duration timeout, ReplyCallback) = 0;
    /** Rolls back the open transaction. */
    virtual void rollback(const EndpointStatement& header, Duration timeout, ReplyCallback) = 0;
    /** True while the connection is open and usable. */
    virtual bool isOpen() const = 0;
    /** Closes the connection immediately; the server rolls back an open transaction. */
    virtual void close() = 0;
    /** Sets the callback for when the server closes the connection while no statement is in flight. */
    virtual void onIdleClose(std::function<void()>) = 0;
};

/** Control operations on an endpoint server; they use no statement slot. Callbacks as in EndpointConnection. */
class EndpointControl {
public:
    using StatusCallback = std::function<void(EndpointResult<EndpointStatus>)>;

    virtual ~EndpointControl() = default;

    /** Requests the server's state. */
    virtual void status(Duration timeout, StatusCallback) = 0;
    /** Completes when the log has reached the position, the promised term has changed, or the wait has elapsed. */
    virtual void waitForPosition(LogPosition, Milliseconds wait, Duration timeout, StatusCallback) = 0;
    /** Requests the promise of a term; TermRefused if the server promised it to another proposer, or a later term. */
    virtual void raiseTerm(Term, const VmId& proposer, Duration timeout, StatusCallback) = 0;
    /** Makes the server the primary of a term that it promised; the server appends a marker entry to its log. */
    virtual void promote(Term, Duration timeout, StatusCallback) = 0;
    /** Makes the server follow the primary of a term; it discards log entries that the primary does not have. */
    virtual void follow(
        Term, const EndpointId& primary, const std::string& primaryAddress, Duration timeout, StatusCallback)
        = 0;
    /** Takes the claim if its epoch is still the expected one; the reply contains the new epoch. */
    virtual void claim(std::uint64_t expectedEpoch, const VmId& owner, Duration timeout, StatusCallback) = 0;
};

/** Opens connections to endpoint servers. */
class EndpointConnector {
public:
    using OpenCallback = std::function<void(EndpointResult<std::shared_ptr<EndpointConnection>>)>;

    virtual ~EndpointConnector() = default;

    /** Opens a connection for statements under a claim epoch. */
    virtual void open(const std::string& address, std::uint64_t claimEpoch, Duration timeout, OpenCallback) = 0;
    /** Returns the control operations of a server; connects on first use. */
    virtual std::shared_ptr<EndpointControl> control(const std::string& address) = 0;
};

} // namespace almondlever

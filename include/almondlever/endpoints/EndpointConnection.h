#pragma once

#include "almondlever/endpoints/EndpointMessages.h"

#include <functional>
#include <memory>

namespace almondlever {

/**
 * One connection to an endpoint server, with one statement in flight at a time.
 *
 * Each callback is called exactly once, on the thread that made the call. After ConnectionLost or TimedOut the
 * connection is closed and must be dropped: its state is in doubt.
 *
 * @see EndpointConnector, docs/ENDPOINT_CONTRACT.md
 */
class EndpointConnection {
public:
    using ReplyCallback = std::function<void(EndpointResult<EndpointReply>)>;

    virtual ~EndpointConnection() = default;

    /** Runs a statement, inside the open transaction if there is one. */
    virtual void execute(const EndpointStatement&, Duration timeout, ReplyCallback) = 0;
    /** Begins a transaction under a term and claim; the following statements of this connection belong to it. */
    virtual void begin(const EndpointStatement& header, Duration timeout, ReplyCallback) = 0;
    /** Commits the open transaction; the reply's position is that of its last write. */
    virtual void commit(const EndpointStatement& header, Duration timeout, ReplyCallback) = 0;
    /** Rolls the open transaction back. */
    virtual void rollback(const EndpointStatement& header, Duration timeout, ReplyCallback) = 0;
    /** True while connected and not in doubt. */
    virtual bool isOpen() const = 0;
    /** Closes at once; the server rolls an open transaction back. */
    virtual void close() = 0;
    /** Sets a callback for a close by the server while no statement is in flight. */
    virtual void onIdleClose(std::function<void()>) = 0;
};

/** Control operations on an endpoint server; they use no statement slot. Callbacks as in EndpointConnection. */
class EndpointControl {
public:
    using StatusCallback = std::function<void(EndpointResult<EndpointStatus>)>;

    virtual ~EndpointControl() = default;

    /** Reads the server's state. */
    virtual void status(Duration timeout, StatusCallback) = 0;
    /** Answers when the log reached the position, when the promised term changed, or when the wait is over. */
    virtual void waitForPosition(LogPosition, Milliseconds wait, Duration timeout, StatusCallback) = 0;
    /** Asks for the promise of a term; TermRefused when the server promised it to another proposer or a later one. */
    virtual void raiseTerm(Term, const VmId& proposer, Duration timeout, StatusCallback) = 0;
    /** Makes the server primary of a term that it promised; it appends a marker entry. */
    virtual void promote(Term, Duration timeout, StatusCallback) = 0;
    /** Makes the server follow a primary of a term; it discards entries that the primary does not have. */
    virtual void follow(
        Term, const EndpointId& primary, const std::string& primaryAddress, Duration timeout, StatusCallback)
        = 0;
    /** Takes the claim when its epoch is still the expected one; the reply has the new epoch. */
    virtual void claim(std::uint64_t expectedEpoch, const VmId& owner, Duration timeout, StatusCallback) = 0;
};

/** Opens connections to endpoint servers. */
class EndpointConnector {
public:
    using OpenCallback = std::function<void(EndpointResult<std::shared_ptr<EndpointConnection>>)>;

    virtual ~EndpointConnector() = default;

    /** Opens a connection for statements under a claim epoch. */
    virtual void open(const std::string& address, std::uint64_t claimEpoch, Duration timeout, OpenCallback) = 0;
    /** Gives the control operations of a server; connects when first used. */
    virtual std::shared_ptr<EndpointControl> control(const std::string& address) = 0;
};

} // namespace almondlever

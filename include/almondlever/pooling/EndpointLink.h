#pragma once

#include "almondlever/groups/EndpointEntry.h"
#include "almondlever/sessions/SessionContents.h"
#include "almondlever/sessions/Statement.h"

#include <memory>
#include <optional>
#include <string>

namespace almondlever {

/** A command that the proxy sends to an endpoint. Only Forward and ForwardPrepared carry a caller's statement. */
struct EndpointCommand {
    enum class Kind {
        /** The caller's statement, unchanged. */
        Forward,
        /** A caller's execution of a prepared statement, under the name that the proxy gave the statement. */
        ForwardPrepared,
        Begin,
        BeginReadOnly,
        Rollback,
        SetValue,
        Prepare,
        /** Clears session values and prepared statements. */
        Reset,
        QueryStatus,
        /** Stops a replica from receiving the log; the term must be higher than the latest one. */
        PauseReplication,
        ResumeReplication,
        /** Makes a primary of a lower term a replica. */
        StepDown,
    };

    Kind kind = Kind::Forward;
    /** Id of the caller's request; empty for commands of the proxy. */
    std::string id;
    /** Forward: the statement. */
    std::string text;
    /** SetValue: name of the session value. Prepare and ForwardPrepared: the proxy's name for the statement. */
    std::string name;
    /** SetValue: the value. Prepare: the shape. ForwardPrepared: item and data. */
    std::string argument;
    bool isWriteShape = false;
    /** Forward: commits the open transaction. */
    bool endsTransaction = false;
    /** The endpoint refuses with Lagging unless its log contains this position. Reads and BeginReadOnly only. */
    std::optional<LogPosition> after;
    /** PauseReplication: the term in which replication is paused. StepDown: the term that ends those before it. */
    Term term = 0;
};

/** Returns "forward", "begin" and so on, for logs. */
const char* toText(EndpointCommand::Kind);

/** Receives the events of a connection to an endpoint. */
class EndpointLinkObserver {
public:
    virtual ~EndpointLinkObserver() = default;

    /** The endpoint accepted the connection and has the expected identity. */
    virtual void onLinkOpened(const Reply&, TimePoint now) = 0;
    /**
     * Replies arrive in the order in which the commands were sent. An endpoint may also send one again, or the reply
     * that opened the connection; that one has neither an error nor a detail.
     */
    virtual void onLinkReply(Reply&&, TimePoint now) = 0;
    /** The last call. The refusal is set when the endpoint rejected the connection with an error. */
    virtual void onLinkClosed(const std::string& reason, std::optional<StatementError> refusal, TimePoint now) = 0;
};

/** A connection to an endpoint. */
class EndpointLink {
public:
    virtual ~EndpointLink() = default;

    virtual void send(const EndpointCommand&) = 0;
    /** Closes the connection without notifying the observer; the endpoint rolls back an open transaction. */
    virtual void close() = 0;
};

/** Opens connections to endpoints. */
class EndpointConnector {
public:
    virtual ~EndpointConnector() = default;

    /**
     * Starts connecting on behalf of a customer, which the endpoint is told; with the empty id, on behalf of the proxy.
     * The observer is never called from inside this function.
     */
    virtual std::shared_ptr<EndpointLink> connect(
        const EndpointEntry&, const CustomerId&, std::weak_ptr<EndpointLinkObserver>)
        = 0;
};

} // namespace almondlever

#pragma once

#include "almondlever/groups/EndpointEntry.h"
#include "almondlever/sessions/SessionContents.h"
#include "almondlever/sessions/Statement.h"

#include <memory>
#include <optional>
#include <string>

namespace almondlever {

/** What the proxy sends on a connection to an endpoint. Only Forward and ForwardPrepared stem from a caller. */
struct EndpointCommand {
    enum class Kind {
        /** The caller's statement, unchanged. */
        Forward,
        /** The caller's execution of a prepared statement under the proxy's name for it. */
        ForwardPrepared,
        Begin,
        BeginReadOnly,
        Rollback,
        SetValue,
        Prepare,
        /** Clears values and prepared statements. */
        Reset,
        QueryStatus,
        /** Stops a replica from receiving, in a term above the newest one. */
        PauseReplication,
        ResumeReplication,
    };

    Kind kind = Kind::Forward;
    /** Id of the caller's request; empty for commands of the proxy. */
    std::string id;
    /** Forward: the statement. */
    std::string text;
    /** SetValue: name of the value. Prepare and ForwardPrepared: the proxy's name of the statement. */
    std::string name;
    /** SetValue: the value. Prepare: the shape. ForwardPrepared: item and data. */
    std::string argument;
    bool isWriteShape = false;
    /** The endpoint refuses as lagging unless its log contains this. Reads and BeginReadOnly only. */
    std::optional<LogPosition> after;
    /** PauseReplication. */
    Term term = 0;
};

/** Hears what happens on a connection to an endpoint. */
class EndpointLinkObserver {
public:
    virtual ~EndpointLinkObserver() = default;

    /** The endpoint accepted the connection and has the expected identity. */
    virtual void onLinkOpened(const Reply&, TimePoint now) = 0;
    /** Replies come in the order of the commands. */
    virtual void onLinkReply(Reply&&, TimePoint now) = 0;
    /** The last call. The error is set when the endpoint refused the connection with one. */
    virtual void onLinkClosed(const std::string& reason, std::optional<StatementError> refusal, TimePoint now) = 0;
};

/** A connection to an endpoint. */
class EndpointLink {
public:
    virtual ~EndpointLink() = default;

    virtual void send(const EndpointCommand&) = 0;
    /** Closes without a further call to the observer; the endpoint rolls an open transaction back. */
    virtual void close() = 0;
};

/** Opens connections to endpoints. */
class EndpointConnector {
public:
    virtual ~EndpointConnector() = default;

    /** Starts to connect. The observer hears nothing from inside this call. */
    virtual std::shared_ptr<EndpointLink> connect(const EndpointEntry&, std::weak_ptr<EndpointLinkObserver>) = 0;
};

} // namespace almondlever

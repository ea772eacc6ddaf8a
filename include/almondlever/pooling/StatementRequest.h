#pragma once

#include "almondlever/pooling/EndpointLink.h"
#include "almondlever/sessions/Routing.h"

#include <functional>
#include <memory>
#include <optional>

namespace almondlever {

/** A transaction that is open on an endpoint; opaque except to the StatementRunner that opened it. */
class OpenTransaction {
public:
    virtual ~OpenTransaction() = default;
};

/** Refers to the open transaction of a session; empty outside of transactions. */
using TransactionHandle = std::shared_ptr<OpenTransaction>;

/** A statement for a group, with the constraints on the endpoints that may run it. */
struct StatementRequest {
    Statement statement;
    GroupId group;
    /** The customer that the endpoint is told; empty where callers need no key. */
    CustomerId customer;
    std::size_t rank = 0;
    TimePoint arrival;
    /** When this time passes without a result, the caller gets an error. */
    TimePoint deadline;
    /** The statement may change data when it runs. */
    bool isWrite = false;
    /** Only the primary may run it: writes, transactions that may write, and reads that must see every commit. */
    bool needsPrimary = false;
    /** A transaction is begun before the statement and stays open after it. */
    bool opensTransaction = false;
    /** With opensTransaction: the transaction is read-only and may run on a replica. */
    bool isReadOnlyTransaction = false;
    /** Commits acknowledged before this time must be visible; unused with needsPrimary. */
    TimePoint visibleBefore;
    /** Time between visibleBefore and the arrival. */
    Milliseconds maximumStaleness { 0 };
    /** Log position of the session's own commits, which must be visible. */
    std::optional<LogPosition> sessionPosition;
    std::shared_ptr<const SessionContents> contents;
};

/** Outcome of a statement. */
struct StatementResult {
    Reply reply;
    /** Set while the transaction stays open on the endpoint. */
    TransactionHandle transaction;
    /** The endpoint that answered or may have run the statement; empty when it was sent to none. */
    EndpointId endpoint;
    /** Number of attempts on endpoints. */
    std::size_t attempts = 0;
};

using StatementCallback = std::function<void(StatementResult&&, TimePoint now)>;

} // namespace almondlever

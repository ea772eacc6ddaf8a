#pragma once

#include "almondlever/pooling/EndpointLink.h"
#include "almondlever/sessions/Routing.h"

#include <functional>
#include <memory>
#include <optional>

namespace almondlever {

/** A transaction that is open on an endpoint, as the StatementRunner that opened it knows it. */
class OpenTransaction {
public:
    virtual ~OpenTransaction() = default;
};

/** The open transaction of one session; empty outside of transactions. */
using TransactionLink = std::shared_ptr<OpenTransaction>;

/** One statement for an endpoint of a group, with what decides where it may run. */
struct StatementRequest {
    Statement statement;
    GroupId group;
    std::size_t rank = 0;
    TimePoint arrival;
    /** No answer is sent to an endpoint's address after this; the caller gets an error then. */
    TimePoint deadline;
    /** The statement may change data when it runs. */
    bool isWrite = false;
    /** Only the primary may run it: writes, transactions that may write, and reads that must see every commit. */
    bool needsPrimary = false;
    /** A transaction is begun on the endpoint before the statement and stays open after it. */
    bool opensTransaction = false;
    /** With opensTransaction: the transaction only reads and may run on a replica. */
    bool isReadOnlyTransaction = false;
    /** Commits acknowledged before this must be visible; not used with needsPrimary. */
    TimePoint visibleBefore;
    /** Distance of visibleBefore from the arrival. */
    Milliseconds maximumStaleness { 0 };
    /** Position that must be visible, of the session's own commits. */
    std::optional<LogPosition> sessionPosition;
    std::shared_ptr<const SessionContents> contents;
};

/** How a statement ended. */
struct StatementResult {
    Reply reply;
    /** Set while the transaction stays open on the endpoint. */
    TransactionLink transaction;
    /** The endpoint that answered, or that may have run the statement; empty when none was asked. */
    EndpointId endpoint;
    /** Number of endpoints that were asked. */
    std::size_t attempts = 0;
};

using StatementCallback = std::function<void(StatementResult&&, TimePoint now)>;

} // namespace almondlever

#pragma once

#include "almondlever/admission/Scheduler.h"
#include "almondlever/pooling/StatementRequest.h"

namespace almondlever {

/** Runs statements of sessions on endpoints, directly or through another daemon. */
class StatementRunner {
public:
    virtual ~StatementRunner() = default;

    /** Queues a statement. Unless it is abandoned, the callback is called exactly once, possibly from inside. */
    virtual Ticket submit(StatementRequest, StatementCallback, TimePoint now) = 0;
    /** Runs a statement in an open transaction. */
    virtual Ticket submit(const TransactionHandle&, StatementRequest, StatementCallback, TimePoint now) = 0;
    /** Handles a caller's disconnect: drops a queued statement, or discards the result of a running one. */
    virtual void abandon(Ticket, TimePoint now) = 0;
    /** Rolls back an open transaction. */
    virtual void endTransaction(const TransactionHandle&, TimePoint now) = 0;
};

} // namespace almondlever

#pragma once

#include "almondlever/admission/Scheduler.h"
#include "almondlever/pooling/StatementRequest.h"

namespace almondlever {

/** Runs statements of sessions on endpoints, from this daemon or through another one. */
class StatementRunner {
public:
    virtual ~StatementRunner() = default;

    /** Queues a statement. The callback comes exactly once, possibly from inside this call, unless it is abandoned. */
    virtual Ticket submit(StatementRequest, StatementCallback, TimePoint now) = 0;
    /** Runs a statement of an open transaction. */
    virtual Ticket submit(const TransactionLink&, StatementRequest, StatementCallback, TimePoint now) = 0;
    /** The caller left: a waiting statement is dropped, the result of a running one is not reported. */
    virtual void abandon(Ticket, TimePoint now) = 0;
    /** Rolls an open transaction back. */
    virtual void endTransaction(const TransactionLink&, TimePoint now) = 0;
};

} // namespace almondlever

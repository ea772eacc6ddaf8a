#pragma once

#include "almondlever/failover/FailoverCoordinator.h"

#include <map>
#include <set>
#include <string>

namespace almondlever {

/**
 * One attempt of one proposer to change the primary: asks all servers to promise a term, chooses the most advanced of a
 * majority that promised it, and promotes that server. The term is never reused after the attempt.
 */
class PrimaryChange {
public:
    enum class Phase {
        CollectingPromises,
        Promoting,
        Promoted,
        Failed,
    };

    PrimaryChange(const DatabaseDescription&, std::set<EndpointId> leaving, Term, const FailoverSettings&);

    FailoverActions start(TimePoint now);
    FailoverActions onTick(TimePoint now);
    FailoverActions onTermReply(const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now);
    FailoverActions onPromoteReply(const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now);

    Phase phase() const { return phase_; }
    Term term() const { return term_; }
    /** The server to promote; empty before the phase Promoting. */
    const EndpointId& chosen() const { return chosen_; }
    /** Why the attempt failed. */
    const std::string& failure() const { return failure_; }
    /** Highest later term reported by a server; 0 when none was. */
    Term laterTerm() const { return laterTerm_; }

private:
    void enter(Phase, TimePoint now);
    void fail(const std::string& reason);
    void onRefusal(const EndpointId&, Term promised);
    FailoverActions choose(TimePoint now);
    FailoverActions requestMissingPromises() const;
    const EndpointDescription* mostAdvanced() const;

    const DatabaseDescription& group_;
    const FailoverSettings& settings_;
    std::set<EndpointId> leaving_;
    Term term_;
    Phase phase_ = Phase::CollectingPromises;
    TimePoint phaseStart_;
    bool wasRetried_ = false;
    /** Log end of each server at its promise of the term; it cannot change before the promotion. */
    std::map<EndpointId, LogPosition> promises_;
    std::set<EndpointId> refusals_;
    EndpointId chosen_;
    std::string failure_;
    Term laterTerm_ = 0;
};

} // namespace almondlever

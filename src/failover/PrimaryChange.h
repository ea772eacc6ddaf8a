#pragma once

#include "almondlever/failover/FailoverCoordinator.h"

#include <map>
#include <set>
#include <string>

namespace almondlever {

/**
 * One attempt of one proposer: raises a term at all servers, picks the most advanced of a promising majority, and
 * promotes it. The term is never used again after the attempt.
 */
class PrimaryChange {
public:
    enum class Phase {
        Promising,
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
    /** The picked server; empty before the phase Promoting. */
    const EndpointId& chosen() const { return chosen_; }
    /** Why the attempt failed. */
    const std::string& failure() const { return failure_; }
    /** Highest later term that a server reported; zero when none did. */
    Term laterTerm() const { return laterTerm_; }

private:
    void enter(Phase, TimePoint now);
    void fail(const std::string& reason);
    void onRefusal(const EndpointId&, Term promised);
    FailoverActions choose(TimePoint now);
    FailoverActions raiseMissing() const;
    const EndpointDescription* best() const;

    const DatabaseDescription& group_;
    const FailoverSettings& settings_;
    std::set<EndpointId> leaving_;
    Term term_;
    Phase phase_ = Phase::Promising;
    TimePoint phaseStart_;
    bool wasRepeated_ = false;
    /** Log end of each server that promised the term, as it was at the promise; it cannot change until promotion. */
    std::map<EndpointId, LogPosition> promises_;
    std::set<EndpointId> refusals_;
    EndpointId chosen_;
    std::string failure_;
    Term laterTerm_ = 0;
};

} // namespace almondlever

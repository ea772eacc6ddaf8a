#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <map>
#include <set>

namespace almondlever {

/** What a daemon knows about a primary that another daemon suspects. */
enum class PrimaryOpinion {
    /** It has no connection, or no request outstanding that the primary should have answered. */
    Unknown,
    /** The primary answered it after the other daemon's suspicion began. */
    Answers,
    /** It is waiting for an answer as well and has received none. */
    Fails,
};

/** "unknown", "answers" or "fails". */
const char* toText(PrimaryOpinion);

/** Bounds of a query to other daemons. */
struct FailureConfirmationSettings {
    /** Number of daemons that are queried, so that the cost of a suspicion does not grow with the fleet. */
    std::size_t peerCount = 5;
    /** The failure is confirmed when one in this many of the daemons that know something sees it too. */
    std::size_t confirmationDivisor = 3;
    /** Time to wait for answers: four round trips between regions (12 ms one way) plus scheduling delays of a VM. */
    Milliseconds answerTimeout { 150 };
    /** Time to wait while no daemon has answered at all; a VM that is itself slow receives answers late. */
    Milliseconds noAnswerTimeout { 400 };
    /**
     * A suspicion that others have contradicted for this long is confirmed nevertheless, because this daemon's callers
     * have no primary. Longer than connections need to recover from a network partition.
     */
    Milliseconds contradictionTimeout { 2500 };
};

/**
 * Confirms a suspected failure of a group's primary by querying other owners of the group.
 *
 * The connections of a single daemon also appear to fail when that daemon was stalled or its own network path is down,
 * and the probability of one such daemon grows with the fleet. Daemons that are gone do not delay the confirmation
 * beyond the answer timeouts. Performs no I/O.
 */
class FailureConfirmation {
public:
    enum class Verdict { Waiting, Confirmed, Contradicted };

    /** `contradictedSince`: when others first contradicted the suspicion; equal to `askedAt` when none has. */
    FailureConfirmation(std::set<VmId> asked, TimePoint contradictedSince, TimePoint askedAt,
        const FailureConfirmationSettings& settings)
        : asked_(std::move(asked))
        , contradictedSince_(contradictedSince)
        , askedAt_(askedAt)
        , settings_(settings)
    {
    }

    /** Records an answer; ignored when the daemon was not queried. */
    void add(const VmId& from, PrimaryOpinion);
    Verdict verdict(TimePoint now) const;
    TimePoint askedAt() const { return askedAt_; }
    std::size_t count(PrimaryOpinion) const;
    std::size_t askedCount() const { return asked_.size(); }

private:
    std::set<VmId> asked_;
    TimePoint contradictedSince_;
    TimePoint askedAt_;
    FailureConfirmationSettings settings_;
    std::map<VmId, PrimaryOpinion> opinions_;
};

} // namespace almondlever

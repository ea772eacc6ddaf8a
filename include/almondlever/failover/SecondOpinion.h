#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <map>
#include <set>

namespace almondlever {

/** What a daemon knows of a primary that another daemon doubts. */
enum class PrimaryOpinion {
    /** It has no connection, or nothing that the primary should have answered. */
    Unknown,
    /** The primary answered it after the other daemon's doubt began. */
    Answers,
    /** It has had no answer either, although it waits for one. */
    Fails,
};

/** "unknown", "answers" or "fails". */
const char* toText(PrimaryOpinion);

/** Bounds of a question to other daemons. */
struct SecondOpinionSettings {
    /** Daemons that are asked; the cost of a doubt does not grow with the fleet. */
    std::size_t asked = 5;
    /** The doubt is confirmed when this part of the daemons that know something shares it; 1 of so many. */
    std::size_t sharersOf = 3;
    /** Time for answers: four round trips between regions (12 ms one way) and an unhurried VM. */
    Milliseconds patience { 150 };
    /** As patience, while no daemon has answered at all; a VM that is itself slow hears late. */
    Milliseconds silentPatience { 400 };
    /**
     * A doubt that others have contradicted for this long is acted on all the same, since this daemon's callers have no
     * primary. Longer than its connections need to come back after a cut.
     */
    Milliseconds lonePatience { 2500 };
};

/**
 * One question to other owners of a group whether its primary really fails.
 *
 * The connections of one daemon alone show a failure also when that daemon was stalled or its own path is cut, and the
 * chance of one such daemon grows with the fleet. Daemons that are gone do not delay a confirmation beyond the
 * patience. Does no input or output.
 */
class SecondOpinion {
public:
    enum class Verdict { Waiting, Confirmed, Contradicted };

    /** Others have contradicted the doubt since `contradictedSince`; `askedAt` when none has. */
    SecondOpinion(
        std::set<VmId> asked, TimePoint contradictedSince, TimePoint askedAt, const SecondOpinionSettings& settings)
        : asked_(std::move(asked))
        , contradictedSince_(contradictedSince)
        , askedAt_(askedAt)
        , settings_(settings)
    {
    }

    /** Ignored when the daemon was not asked. */
    void add(const VmId& from, PrimaryOpinion);
    Verdict verdict(TimePoint now) const;
    TimePoint askedAt() const { return askedAt_; }
    std::size_t count(PrimaryOpinion) const;
    std::size_t askedCount() const { return asked_.size(); }

private:
    std::set<VmId> asked_;
    TimePoint contradictedSince_;
    TimePoint askedAt_;
    SecondOpinionSettings settings_;
    std::map<VmId, PrimaryOpinion> opinions_;
};

} // namespace almondlever

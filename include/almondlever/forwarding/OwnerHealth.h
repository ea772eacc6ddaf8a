#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>
#include <optional>

namespace almondlever {

/** How a daemon judges the owners that it forwards statements to. */
struct OwnerHealthSettings {
    /** An owner that holds statements and has said nothing for this long is asked whether it is alive. */
    Milliseconds questionAfter { 100 };
    /** An owner that leaves a question unanswered for this long is silent; ten round trips between regions. */
    Milliseconds answerLimit { 250 };
    /** Pause before a silent owner is asked again; doubles up to the longest pause. */
    Milliseconds firstPause { 250 };
    Milliseconds longestPause { 4000 };
};

/**
 * Whether an owner can be relied on. A statement may take as long as its time-out, so the age of unanswered statements
 * alone tells nothing; an owner that is asked whether it is alive answers at once.
 */
class OwnerHealth {
public:
    explicit OwnerHealth(const OwnerHealthSettings& settings = {})
        : settings_(settings)
    {
    }

    /** A statement was sent to the owner. */
    void noteSent(TimePoint now);
    /** A statement that was sent to the owner ended, with or without an answer. */
    void noteEnded();
    /** Any message of the owner arrived. */
    void noteHeard(TimePoint now);
    /** The channel to the owner failed. */
    void noteLost(TimePoint now);
    /** Statements that the owner has not answered. */
    std::size_t running() const { return running_; }
    /** True unless the owner is silent or its channel failed and nothing was heard of it since. */
    bool isUsable() const { return !isSilent_; }
    /** True when the owner must be asked now; the caller asks it and calls noteAsked(). */
    bool isQuestionDue(TimePoint now) const;
    /** A question is unanswered. */
    bool isAsked() const { return askedAt_.has_value(); }
    void noteAsked(TimePoint now);
    /** What was not heard before this does not count, because this process did not run. */
    void forgiveSilence(TimePoint now);
    /** Judges an unanswered question; true when the owner has just become silent. */
    bool becomesSilent(TimePoint now);

private:
    void lengthenPause();

    OwnerHealthSettings settings_;
    std::size_t running_ = 0;
    /** When the owner was last heard of, or when the first of its present statements was sent. */
    TimePoint quietSince_ {};
    /** When the unanswered question was sent. */
    std::optional<TimePoint> askedAt_;
    bool isSilent_ = false;
    TimePoint askAgainAt_ {};
    Milliseconds pause_ { 0 };
};

} // namespace almondlever

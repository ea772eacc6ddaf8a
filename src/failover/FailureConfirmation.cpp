#include "almondlever/failover/FailureConfirmation.h"

#include <algorithm>

namespace almondlever {

const char* toText(PrimaryOpinion opinion)
{
    switch (opinion) {
    case PrimaryOpinion::Answers:
        return "answers";
    case PrimaryOpinion::Fails:
        return "fails";
    case PrimaryOpinion::Unknown:
        break;
    }
    return "unknown";
}

void FailureConfirmation::add(const VmId& from, PrimaryOpinion opinion)
{
    if (asked_.count(from) > 0)
        opinions_[from] = opinion;
}

std::size_t FailureConfirmation::count(PrimaryOpinion opinion) const
{
    return static_cast<std::size_t>(std::count_if(
        opinions_.begin(), opinions_.end(), [opinion](const auto& entry) { return entry.second == opinion; }));
}

FailureConfirmation::Verdict FailureConfirmation::verdict(TimePoint now) const
{
    const std::size_t fails = count(PrimaryOpinion::Fails);
    const std::size_t informed = fails + count(PrimaryOpinion::Answers);
    // Enough of all queried daemons agree; the missing answers cannot change the verdict.
    if (fails > 0 && fails * settings_.confirmationDivisor >= asked_.size())
        return Verdict::Confirmed;
    if (now - contradictedSince_ >= settings_.contradictionTimeout)
        return Verdict::Confirmed;
    const Milliseconds answerTimeout = opinions_.empty() ? settings_.noAnswerTimeout : settings_.answerTimeout;
    if (opinions_.size() < asked_.size() && now - askedAt_ < answerTimeout)
        return Verdict::Waiting;
    return fails * settings_.confirmationDivisor >= informed ? Verdict::Confirmed : Verdict::Contradicted;
}

} // namespace almondlever

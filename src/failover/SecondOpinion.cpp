#include "almondlever/failover/SecondOpinion.h"

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

void SecondOpinion::add(const VmId& from, PrimaryOpinion opinion)
{
    if (asked_.count(from) > 0)
        opinions_[from] = opinion;
}

std::size_t SecondOpinion::count(PrimaryOpinion opinion) const
{
    return static_cast<std::size_t>(std::count_if(
        opinions_.begin(), opinions_.end(), [opinion](const auto& entry) { return entry.second == opinion; }));
}

SecondOpinion::Verdict SecondOpinion::verdict(TimePoint now) const
{
    const std::size_t fails = count(PrimaryOpinion::Fails);
    const std::size_t informed = fails + count(PrimaryOpinion::Answers);
    // What the missing answers say cannot change it.
    if (fails > 0 && fails * settings_.sharersOf >= asked_.size())
        return Verdict::Confirmed;
    if (now - contradictedSince_ >= settings_.lonePatience)
        return Verdict::Confirmed;
    const Milliseconds patience = opinions_.empty() ? settings_.silentPatience : settings_.patience;
    if (opinions_.size() < asked_.size() && now - askedAt_ < patience)
        return Verdict::Waiting;
    return fails * settings_.sharersOf >= informed ? Verdict::Confirmed : Verdict::Contradicted;
}

} // namespace almondlever

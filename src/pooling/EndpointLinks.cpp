#include "EndpointLinks.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Number of openings over which their time is smoothed. */
    constexpr int openingTimeSmoothing = 8;

} // namespace

std::shared_ptr<PooledLink> EndpointLinks::takeIdleSince(TimePoint time)
{
    const auto found = std::find_if(links_.begin(), links_.end(),
        [time](const auto& link) { return link->state() == PooledLink::State::Idle && link->stateSince() <= time; });
    if (found == links_.end())
        return nullptr;
    std::shared_ptr<PooledLink> link = std::move(*found);
    links_.erase(found);
    return link;
}

std::shared_ptr<PooledLink> EndpointLinks::takeLongestIdle()
{
    auto longest = links_.end();
    for (auto it = links_.begin(); it != links_.end(); ++it) {
        const bool isIdle = (*it)->state() == PooledLink::State::Idle;
        if (isIdle && (longest == links_.end() || (*it)->stateSince() < (*longest)->stateSince()))
            longest = it;
    }
    if (longest == links_.end())
        return nullptr;
    std::shared_ptr<PooledLink> link = std::move(*longest);
    links_.erase(longest);
    return link;
}

void EndpointLinks::noteOpened(const PooledLink& link, TimePoint now)
{
    const Duration taken = now - link.openedAt();
    openingTime_ = openingTime_ == Duration(0) ? taken : openingTime_ + (taken - openingTime_) / openingTimeSmoothing;
    wasOpen_ = true;
    failingSince_.reset();
    connectBackoff_ = Milliseconds(0);
    lastReplyAt_ = now;
    lastActualReplyAt_ = now;
}

void EndpointLinks::noteReply(const Reply& reply, TimePoint now)
{
    failingSince_.reset();
    lastReplyAt_ = now;
    lastActualReplyAt_ = now;
    if (reply.position)
        position_ = *reply.position;
}

void EndpointLinks::noteClosed(std::optional<StatementError> refusal, bool wasOpening, TimePoint now)
{
    links_.erase(std::remove_if(links_.begin(), links_.end(),
                     [](const auto& link) { return link->state() == PooledLink::State::Closed; }),
        links_.end());
    if (refusal == StatementError::TooManyConnections) {
        connectBackoff_
            = std::clamp(connectBackoff_ * 2, settings_.tooManyConnectionsBackoff, settings_.maximumConnectBackoff);
        connectAfter_ = now + connectBackoff_;
        // A refusal shows that the endpoint works.
        lastReplyAt_ = now;
        lastActualReplyAt_ = now;
        failingSince_.reset();
        return;
    }
    if (!failingSince_)
        failingSince_ = now;
    if (!wasOpening)
        return;
    connectBackoff_ = std::clamp(connectBackoff_ * 2, settings_.initialConnectBackoff, settings_.maximumConnectBackoff);
    connectAfter_ = now + connectBackoff_;
}

bool EndpointLinks::hasIdle(const CustomerId& customer) const
{
    return std::any_of(links_.begin(), links_.end(), [&customer](const auto& link) {
        return link->state() == PooledLink::State::Idle && link->customer() == customer;
    });
}

std::shared_ptr<PooledLink> EndpointLinks::findIdle() const
{
    const auto found = std::find_if(
        links_.begin(), links_.end(), [](const auto& link) { return link->state() == PooledLink::State::Idle; });
    return found == links_.end() ? nullptr : *found;
}

std::shared_ptr<PooledLink> EndpointLinks::findIdle(const SessionContents& contents, const CustomerId& customer) const
{
    std::shared_ptr<PooledLink> best;
    std::size_t fewest = 0;
    for (const auto& link : links_) {
        if (link->state() != PooledLink::State::Idle || link->customer() != customer)
            continue;
        const std::size_t differences = link->contents().countDifferences(contents);
        if (best && differences >= fewest)
            continue;
        best = link;
        fewest = differences;
    }
    return best;
}

std::size_t EndpointLinks::count(PooledLink::State state) const
{
    return static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(), [state](const auto& link) { return link->state() == state; }));
}

std::size_t EndpointLinks::openCount() const { return links_.size() - count(PooledLink::State::Closed); }

std::optional<TimePoint> EndpointLinks::waitingSince() const
{
    std::optional<TimePoint> earliest;
    for (const auto& link : links_) {
        const bool isOpening = link->state() == PooledLink::State::Opening;
        if (!isOpening && !link->isWaiting())
            continue;
        const TimePoint since = isOpening ? link->openedAt() : link->waitingSince();
        if (!earliest || since < *earliest)
            earliest = since;
    }
    return earliest;
}

std::optional<TimePoint> EndpointLinks::slotFreeCommandSince() const
{
    std::optional<TimePoint> earliest;
    for (const auto& link : links_) {
        const std::optional<TimePoint> since = link->slotFreeCommandSince();
        if (since && (!earliest || *since < *earliest))
            earliest = since;
    }
    return earliest;
}

bool EndpointLinks::hasLostAnswer(const PooledLink& link, TimePoint now) const
{
    const std::optional<TimePoint> since = link.slotFreeCommandSince();
    return since && now - *since >= settings_.slotFreeSilenceLimit && lastReplyAt_ > *since;
}

bool EndpointLinks::isSilent(TimePoint now) const
{
    const std::optional<TimePoint> waiting = waitingSince();
    return waiting && now - std::max(*waiting, lastReplyAt_) >= settings_.slotFreeSilenceLimit;
}

PrimaryOpinion EndpointLinks::opinionSince(TimePoint since, TimePoint now) const
{
    if (lastActualReplyAt_ > since)
        return PrimaryOpinion::Answers;
    const std::optional<TimePoint> slotFreeSince = slotFreeCommandSince();
    const bool waitsForSlotFreeCommand
        = slotFreeSince && now - std::max(*slotFreeSince, lastReplyAt_) >= settings_.suspicionConfirmationTime;
    const bool hasOpenLink = openCount() > count(PooledLink::State::Opening);
    const bool cannotConnect = failingSince_ && !hasOpenLink;
    return waitsForSlotFreeCommand || cannotConnect || isSilent(now) ? PrimaryOpinion::Fails : PrimaryOpinion::Unknown;
}

bool EndpointLinks::isSuspect(TimePoint now) const { return suspectSince(now).has_value(); }

std::optional<TimePoint> EndpointLinks::suspectSince(TimePoint now) const
{
    const bool hasOpenLink = openCount() > count(PooledLink::State::Opening);
    const Milliseconds failureLimit = wasOpen_ ? settings_.failureLimit : settings_.firstFailureLimit;
    if (failingSince_ && !hasOpenLink && now - *failingSince_ >= failureLimit)
        return failingSince_;
    const std::optional<TimePoint> slotFreeSince = slotFreeCommandSince();
    if (slotFreeSince && now - std::max(*slotFreeSince, lastReplyAt_) >= settings_.slotFreeSilenceLimit)
        return std::max(*slotFreeSince, lastReplyAt_);
    const std::optional<TimePoint> waiting = waitingSince();
    if (!waiting)
        return std::nullopt;
    const TimePoint silentSince = std::max(*waiting, lastReplyAt_);
    if (now - silentSince < settings_.silenceLimit)
        return std::nullopt;
    return silentSince;
}

} // namespace almondlever

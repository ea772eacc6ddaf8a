#include "RankQueue.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace almondlever {

void RankQueue::push(const QueuedRequest& request)
{
    assert(locations_.count(request.ticket) == 0);
    const auto [found, isNew] = callers_.try_emplace(request.caller);
    Caller& caller = found->second;
    if (isNew)
        caller.sequence = nextSequence_++;
    unindex(*found);
    if (caller.waiting.empty())
        caller.virtualTime = std::max(caller.virtualTime, virtualTime_);
    caller.waiting.push_back(request);
    index(*found);
    locations_.emplace(request.ticket, Location { found, std::prev(caller.waiting.end()) });
    byDeadline_.emplace(request.deadline, request.ticket);
    bytes_ += request.bytes;
}

std::optional<QueuedRequest> RankQueue::pop(Duration expectedSlotTime)
{
    if (byVirtualTime_.empty())
        return std::nullopt;
    Callers::value_type& entry = *byVirtualTime_.begin()->caller;
    Caller& caller = entry.second;
    virtualTime_ = std::max(virtualTime_, caller.virtualTime);
    ++caller.running;
    ++running_;
    QueuedRequest request = extract(locations_.find(caller.waiting.front().ticket));
    unindex(entry);
    caller.virtualTime += expectedSlotTime;
    index(entry);
    removeIdleCallers();
    return request;
}

void RankQueue::finish(const CallerId& id, Duration correction)
{
    const auto found = callers_.find(id);
    assert(found != callers_.end() && found->second.running > 0);
    unindex(*found);
    --found->second.running;
    --running_;
    found->second.virtualTime += correction;
    index(*found);
    removeIdleCallers();
}

void RankQueue::chargeElsewhere(const CallerId& id, Duration slotTime, Duration longestLead)
{
    // Without requests there is nobody to share with, and the queue keeps no account of callers.
    if (locations_.empty() && running_ == 0)
        return;
    const auto [found, isNew] = callers_.try_emplace(id);
    Caller& caller = found->second;
    if (isNew)
        caller.sequence = nextSequence_++;
    unindex(*found);
    const Duration present = std::max(caller.virtualTime, isNew ? virtualTime_ : Duration(0));
    caller.virtualTime = std::max(present, std::min(present + slotTime, virtualTime_ + longestLead));
    index(*found);
    removeIdleCallers();
}

std::optional<QueuedRequest> RankQueue::remove(Ticket ticket)
{
    const auto found = locations_.find(ticket);
    if (found == locations_.end())
        return std::nullopt;
    QueuedRequest request = extract(found);
    removeIdleCallers();
    return request;
}

std::optional<QueuedRequest> RankQueue::removeExpiredBefore(TimePoint bound)
{
    if (byDeadline_.empty() || byDeadline_.begin()->first >= bound)
        return std::nullopt;
    return remove(byDeadline_.begin()->second);
}

const QueuedRequest* RankQueue::earliestDeadline() const
{
    return byDeadline_.empty() ? nullptr : &*locations_.at(byDeadline_.begin()->second).request;
}

const QueuedRequest* RankQueue::newestOfLongest() const
{
    return byLength_.empty() ? nullptr : &byLength_.rbegin()->caller->second.waiting.back();
}

std::size_t RankQueue::queuedOf(const CallerId& id) const
{
    const auto found = callers_.find(id);
    return found == callers_.end() ? 0 : found->second.waiting.size();
}

void RankQueue::index(Callers::value_type& entry)
{
    const Caller& caller = entry.second;
    if (!caller.waiting.empty()) {
        byVirtualTime_.insert({ caller.virtualTime, caller.sequence, &entry });
        byLength_.insert({ caller.waiting.size(), caller.sequence, &entry });
    } else if (caller.running == 0) {
        idle_.insert({ caller.virtualTime, caller.sequence, &entry });
    }
}

void RankQueue::unindex(Callers::value_type& entry)
{
    const Caller& caller = entry.second;
    byVirtualTime_.erase({ caller.virtualTime, caller.sequence, &entry });
    byLength_.erase({ caller.waiting.size(), caller.sequence, &entry });
    idle_.erase({ caller.virtualTime, caller.sequence, &entry });
}

QueuedRequest RankQueue::extract(std::unordered_map<Ticket, Location>::iterator found)
{
    const Location location = found->second;
    Callers::value_type& entry = *location.caller;
    QueuedRequest request = *location.request;
    unindex(entry);
    entry.second.waiting.erase(location.request);
    index(entry);
    locations_.erase(found);
    byDeadline_.erase({ request.deadline, request.ticket });
    bytes_ -= request.bytes;
    return request;
}

void RankQueue::removeIdleCallers()
{
    const bool isUnused = locations_.empty() && running_ == 0;
    while (!idle_.empty() && (isUnused || idle_.begin()->measure <= virtualTime_)) {
        const CallerId id = idle_.begin()->caller->first;
        idle_.erase(idle_.begin());
        callers_.erase(id);
    }
    if (isUnused)
        virtualTime_ = Duration(0);
}

} // namespace almondlever

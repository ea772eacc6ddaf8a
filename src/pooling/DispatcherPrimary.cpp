#include "DispatcherState.h"

#include <algorithm>

namespace almondlever {

EndpointLinks* DispatcherState::usablePrimary(const GroupId& group, TimePoint now)
{
    const EndpointEntry* primary = directory_.primaryOf(group);
    if (!primary)
        return nullptr;
    const std::optional<TimePoint> leaving = directory_.leavingSince(primary->id);
    if (leaving && now - *leaving > settings_.drainLimit)
        return nullptr;
    EndpointLinks& links = linksOf(primary->id);
    return links.isSuspect(now) ? nullptr : &links;
}

void DispatcherState::noteNewPrimary(GroupQueues& queues, const EndpointId& id)
{
    queues.lastPrimary = id;
    // Positions of the former primary may contain commits that the new one never received.
    queues.history.clear();
    queues.writes.noteNewPrimary();
}

Duration DispatcherState::untilPrimary(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    if (queues.usualChange == Duration(0))
        queues.usualChange = settings_.usualPrimaryChange;
    if (usablePrimary(group, now)) {
        if (queues.withoutPrimarySince) {
            // The longer of two changes counts more: a caller that returns too early is refused twice.
            const Duration taken = now - *queues.withoutPrimarySince;
            queues.usualChange = std::clamp<Duration>(std::max((queues.usualChange + taken) / 2, taken),
                settings_.usualPrimaryChange / 2, settings_.usualPrimaryChange * 4);
        }
        queues.withoutPrimarySince.reset();
        return Duration(0);
    }
    if (!queues.withoutPrimarySince)
        queues.withoutPrimarySince = now;
    const Duration elapsed = now - *queues.withoutPrimarySince;
    // Too few endpoints answer for a promotion; the outage is expected to last as long again as it has so far.
    if (!canChangePrimary(queues, group, now))
        return std::max(elapsed, queues.usualChange);
    // Past its usual time, a change is expected to take as long again as it is late.
    const Duration overdue = elapsed - queues.usualChange;
    return std::max({ -overdue, overdue, queues.usualChange / 8 });
}

std::size_t DispatcherState::countAnswering(const GroupId& group, bool withPrimary, TimePoint now) const
{
    const EndpointEntry* primary = directory_.primaryOf(group);
    const std::vector<const EndpointEntry*> entries = directory_.endpointsOf(group);
    const auto answers = [&](const EndpointEntry* entry) {
        const EndpointLinks* links = findLinks(entry->id);
        return (withPrimary || entry != primary) && links && !links->isSuspect(now);
    };
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), answers));
}

bool DispatcherState::canChangePrimary(const GroupQueues& queues, const GroupId& group, TimePoint now) const
{
    const std::size_t members = directory_.endpointsOf(group).size();
    const std::size_t copies = std::max<std::size_t>(queues.rule.synchronousReplicas, 1);
    const std::size_t needed = members > copies ? members - copies : 1;
    return countAnswering(group, true, now) >= needed;
}

bool DispatcherState::areWritesHopeless(const GroupQueues& queues, const GroupId& group, TimePoint now) const
{
    return queues.rule.synchronousReplicas > 0 && queues.writes.isFailing() && countAnswering(group, false, now) == 0;
}

void DispatcherState::refuseHopeless(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    const Duration wait = untilPrimary(queues, group, now);
    if (wait == Duration(0) || queues.primaryQueue.size() == 0)
        return;
    std::vector<Ticket> hopeless;
    for (const auto& [ticket, pending] : pending_) {
        if (pending.request.group == group && pending.waitsForPrimary && !pending.retryAt && runs_.count(ticket) == 0
            && now + wait > pending.request.deadline)
            hopeless.push_back(ticket);
    }
    for (const Ticket ticket : hopeless) {
        cancelQueued(queues, ticket);
        refuse(ticket, wait, "no_primary", now);
    }
}

std::optional<TimePoint> DispatcherState::writesStalledSince(const GroupId& group, TimePoint now) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end() || found->second.sharers == 0)
        return std::nullopt;
    const GroupQueues& queues = found->second;
    const std::size_t members = directory_.endpointsOf(group).size();
    const std::size_t needed = members - std::min(members, std::max<std::size_t>(queues.rule.synchronousReplicas, 1));
    // Without enough replicas to promote one of them, a change would only fail.
    const bool canHelp = countAnswering(group, false, now) >= std::max<std::size_t>(needed, 2);
    return canHelp ? queues.writes.stalledSince(now) : std::nullopt;
}

LogPosition DispatcherState::acknowledgedPositionOf(const GroupId& group, TimePoint now) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return {};
    const GroupQueues& queues = found->second;
    const LogPosition acknowledged = queues.writes.acknowledged();
    const std::optional<TimePoint> changed = directory_.membersChangedAt(group);
    if (!changed || now - *changed > settings_.membersSettleTime)
        return acknowledged;
    // What the primary appended last before it failed may be on no replica, and is then not acknowledged.
    const TimePoint failing = primaryFailingSince(group, now).value_or(now);
    const auto told = queues.history.newestUntil(failing - settings_.replicationTime);
    return told ? std::max(acknowledged, *told) : acknowledged;
}

PrimaryOpinion DispatcherState::opinionOf(const EndpointId& endpoint, TimePoint since, TimePoint now) const
{
    const EndpointLinks* links = findLinks(endpoint);
    return links ? links->opinionSince(since, now) : PrimaryOpinion::Unknown;
}

std::optional<TimePoint> DispatcherState::primaryFailingSince(const GroupId& group, TimePoint now) const
{
    const EndpointEntry* primary = directory_.primaryOf(group);
    const auto known = groups_.find(group);
    if (known != groups_.end() && known->second.sharers == 0)
        return std::nullopt;
    if (!primary) {
        // Entries of a group come one after the other when it starts.
        const auto queues = groups_.find(group);
        const bool isKnown = queues != groups_.end() && queues->second.withoutPrimarySince;
        const bool isLong = isKnown && now - *queues->second.withoutPrimarySince >= settings_.leaderSearchPatience;
        return isLong && !directory_.endpointsOf(group).empty() ? queues->second.withoutPrimarySince : std::nullopt;
    }
    const EndpointLinks* links = findLinks(primary->id);
    return links ? links->suspectSince(now) : std::nullopt;
}

} // namespace almondlever

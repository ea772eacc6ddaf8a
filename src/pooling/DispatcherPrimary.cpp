#include "DispatcherState.h"

#include <algorithm>

namespace almondlever {

EndpointLinks* DispatcherState::usablePrimary(const GroupId& group, TimePoint now)
{
    const EndpointEntry* primary = directory_.primaryOf(group);
    const auto queues = groups_.find(group);
    const bool isWaiting = isHeld(group) || (queues != groups_.end() && now < queues->second.heldUntil);
    if (!primary || isWaiting)
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
    queues.heldUntil = {};
    // The former primary's positions may include commits that the new primary never received.
    queues.history.clear();
    queues.writes.noteNewPrimary();
}

Duration DispatcherState::expectedWaitForPrimary(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    if (queues.expectedFailover == Duration(0))
        queues.expectedFailover = settings_.expectedFailoverTime;
    if (usablePrimary(group, now)) {
        if (queues.withoutPrimarySince) {
            // Longer failovers weigh more than shorter ones: a caller that retries too early is refused twice.
            const Duration taken = now - *queues.withoutPrimarySince;
            queues.expectedFailover = std::clamp<Duration>(std::max((queues.expectedFailover + taken) / 2, taken),
                settings_.expectedFailoverTime / 2, settings_.expectedFailoverTime * 4);
        }
        queues.withoutPrimarySince.reset();
        return Duration(0);
    }
    if (!queues.withoutPrimarySince)
        queues.withoutPrimarySince = now;
    const Duration elapsed = now - *queues.withoutPrimarySince;
    // Too few endpoints answer for a promotion: expects the outage to last as long again as it has so far.
    if (!canChangePrimary(queues, group, now))
        return std::max(elapsed, queues.expectedFailover);
    // An overdue failover is expected to take as long again as it is overdue.
    const Duration overdue = elapsed - queues.expectedFailover;
    return std::max({ -overdue, overdue, queues.expectedFailover / 8 });
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
    return queues.missingLogs == 0 && countAnswering(group, true, now) >= requiredLogs(queues, group);
}

void DispatcherState::setMissingLogs(const GroupId& group, std::size_t count)
{
    queuesOf(group).missingLogs = count;
    metrics_.setGauge("almondlever_group_missing_logs", "group=\"" + group.text() + '"', static_cast<double>(count));
}

bool DispatcherState::waitsForLogs(const GroupQueues& queues, const GroupId& group, TimePoint now) const
{
    // Right after a failure, or a stall of this daemon, endpoints that have not answered yet are no reason to refuse.
    const bool isLong
        = queues.withoutPrimarySince && now - *queues.withoutPrimarySince >= settings_.expectedFailoverTime;
    return queues.missingLogs > 0 || (isLong && !canChangePrimary(queues, group, now));
}

std::size_t DispatcherState::requiredLogs(const GroupQueues& queues, const GroupId& group) const
{
    const std::size_t listed = directory_.endpointsOf(group).size();
    const std::size_t holders = queues.rule.synchronousReplicas == 0 ? listed : std::max(listed, queues.logHolders);
    const std::size_t copies = std::max<std::size_t>(queues.rule.synchronousReplicas, 1);
    return holders > copies ? holders - copies : 1;
}

bool DispatcherState::areWritesBlocked(const GroupQueues& queues, const GroupId& group, TimePoint now) const
{
    return queues.rule.synchronousReplicas > 0 && queues.writes.isFailing() && countAnswering(group, false, now) == 0;
}

void DispatcherState::refuseUnservable(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    const Duration wait = expectedWaitForPrimary(queues, group, now);
    if (wait == Duration(0) || queues.primaryQueue.size() == 0)
        return;
    const bool isUnservable = waitsForLogs(queues, group, now);
    std::vector<Ticket> unservable;
    for (const auto& [ticket, pending] : pending_) {
        if (pending.request.group == group && pending.waitsForPrimary && !pending.retryAt && runs_.count(ticket) == 0
            && heldAnswers_.count(ticket) == 0 && (isUnservable || now + wait > pending.request.deadline))
            unservable.push_back(ticket);
    }
    for (const Ticket ticket : unservable) {
        cancelQueued(queues, ticket);
        refuse(ticket, wait, "no_primary", now);
    }
}

std::optional<TimePoint> DispatcherState::writesStalledSince(const GroupId& group, TimePoint now) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end() || found->second.sharingDaemons == 0)
        return std::nullopt;
    const GroupQueues& queues = found->second;
    const std::size_t needed = requiredLogs(queues, group);
    // Without enough replicas for a promotion, a failover would only fail.
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
    if (!changed || now - *changed > settings_.membershipSettleTime)
        return acknowledged;
    // The last entries before the failure may not have reached a replica, and are then not acknowledged.
    const TimePoint failing = primaryFailingSince(group, now).value_or(now);
    const auto reported = queues.history.newestUntil(failing - settings_.replicationTime);
    return reported ? std::max(acknowledged, *reported) : acknowledged;
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
    if (known != groups_.end() && known->second.sharingDaemons == 0)
        return std::nullopt;
    if (!primary) {
        // When a group starts, its directory entries arrive one after the other.
        const auto queues = groups_.find(group);
        const bool isKnown = queues != groups_.end() && queues->second.withoutPrimarySince;
        const bool isLong = isKnown && now - *queues->second.withoutPrimarySince >= settings_.primarySearchTimeout;
        return isLong && !directory_.endpointsOf(group).empty() ? queues->second.withoutPrimarySince : std::nullopt;
    }
    const EndpointLinks* links = findLinks(primary->id);
    return links ? links->suspectSince(now) : std::nullopt;
}

} // namespace almondlever

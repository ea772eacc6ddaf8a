#include "almondlever/consistency/CommitTracker.h"

#include <algorithm>
#include <cassert>
#include <functional>

namespace almondlever {

CommitTracker::CommitTracker(std::vector<EndpointId> group)
    : group_(std::move(group))
{
}

std::vector<Confirmation> CommitTracker::awaitPosition(
    ConfirmationId id, const EndpointId& primary, LogPosition position, TimePoint deadline, TimePoint now)
{
    assert(pending_.count(id) == 0);
    PendingConfirmation confirmation;
    confirmation.primary = primary;
    confirmation.position = position;
    confirmation.deadline = deadline;
    pending_.emplace(id, confirmation);
    // The time at which the write was sent is unknown, so this report must not count towards a leadership confirmation.
    recordReport({ primary, position.term, position, TimePoint::min() });
    return takeEnded(now);
}

std::vector<Confirmation> CommitTracker::awaitLeadership(
    ConfirmationId id, const EndpointId& primary, Term term, TimePoint since, TimePoint deadline, TimePoint now)
{
    assert(pending_.count(id) == 0);
    PendingConfirmation confirmation;
    confirmation.isLeadership = true;
    confirmation.primary = primary;
    confirmation.position.term = term;
    confirmation.since = since;
    confirmation.deadline = deadline;
    pending_.emplace(id, confirmation);
    return takeEnded(now);
}

std::vector<Confirmation> CommitTracker::onReport(const PositionReport& report, TimePoint now)
{
    recordReport(report);
    return takeEnded(now);
}

std::vector<Confirmation> CommitTracker::onTick(TimePoint now) { return takeEnded(now); }

std::optional<LogPosition> CommitTracker::wantedFrom(const EndpointId& endpoint) const
{
    std::optional<LogPosition> wanted;
    for (const auto& [id, confirmation] : pending_) {
        if (confirmation.isLeadership || countsTowardsMajority(confirmation, endpoint)
            || hasPromisedLaterTerm(confirmation.position.term, endpoint))
            continue;
        if (!wanted || confirmation.position < *wanted)
            wanted = confirmation.position;
    }
    return wanted;
}

bool CommitTracker::needsFreshReport(const EndpointId& endpoint) const
{
    return std::any_of(pending_.begin(), pending_.end(), [&](const auto& entry) {
        const PendingConfirmation& confirmation = entry.second;
        return confirmation.isLeadership && !countsTowardsMajority(confirmation, endpoint)
            && !hasPromisedLaterTerm(confirmation.position.term, endpoint);
    });
}

LogPosition CommitTracker::confirmedPosition() const { return confirmed_; }

std::size_t CommitTracker::waitingCount() const { return pending_.size(); }

void CommitTracker::recordReport(const PositionReport& report)
{
    if (std::find(group_.begin(), group_.end(), report.endpoint) == group_.end())
        return;
    const auto [entry, isNew] = reports_.emplace(report.endpoint, report);
    PositionReport& known = entry->second;
    if (!isNew && report.promisedTerm > known.promisedTerm) {
        known = report;
    } else if (!isNew && report.promisedTerm == known.promisedTerm) {
        // Reports may arrive out of order. As long as the promised term of a server stays the same, its log of
        // that term only grows.
        known.logEnd = std::max(known.logEnd, report.logEnd);
        known.requestedAt = std::max(known.requestedAt, report.requestedAt);
    }
    updateConfirmedPosition();
}

bool CommitTracker::countsTowardsMajority(const PendingConfirmation& confirmation, const EndpointId& endpoint) const
{
    const auto found = reports_.find(endpoint);
    if (found == reports_.end())
        return false;
    const PositionReport& report = found->second;
    if (report.promisedTerm != confirmation.position.term)
        return false;
    if (confirmation.isLeadership)
        return report.requestedAt >= confirmation.since;
    // A log that ends in another term may lack the position, even if its end compares higher.
    return report.logEnd.term == confirmation.position.term && report.logEnd.index >= confirmation.position.index;
}

bool CommitTracker::hasPromisedLaterTerm(Term term, const EndpointId& endpoint) const
{
    const auto found = reports_.find(endpoint);
    return found != reports_.end() && found->second.promisedTerm > term;
}

std::optional<Confirmation::Verdict> CommitTracker::evaluate(
    const PendingConfirmation& confirmation, TimePoint now) const
{
    const auto confirming = static_cast<std::size_t>(std::count_if(group_.begin(), group_.end(),
        [&](const EndpointId& endpoint) { return countsTowardsMajority(confirmation, endpoint); }));
    if (confirming >= majority())
        return Confirmation::Verdict::Confirmed;
    const auto superseded = static_cast<std::size_t>(std::count_if(group_.begin(), group_.end(),
        [&](const EndpointId& endpoint) { return hasPromisedLaterTerm(confirmation.position.term, endpoint); }));
    if (group_.size() - superseded < majority())
        return Confirmation::Verdict::Superseded;
    if (now >= confirmation.deadline)
        return Confirmation::Verdict::TimedOut;
    return std::nullopt;
}

std::vector<Confirmation> CommitTracker::takeEnded(TimePoint now)
{
    std::vector<Confirmation> ended;
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        const auto verdict = evaluate(entry->second, now);
        if (!verdict) {
            ++entry;
            continue;
        }
        ended.push_back({ entry->first, *verdict });
        entry = pending_.erase(entry);
    }
    return ended;
}

void CommitTracker::updateConfirmedPosition()
{
    std::vector<LogPosition> ends;
    Term newest = 0;
    for (const auto& [endpoint, report] : reports_)
        newest = std::max(newest, report.promisedTerm);
    for (const auto& [endpoint, report] : reports_) {
        if (report.promisedTerm == newest && report.logEnd.term == newest)
            ends.push_back(report.logEnd);
    }
    if (ends.size() < majority())
        return;
    std::sort(ends.begin(), ends.end(), std::greater<>());
    confirmed_ = std::max(confirmed_, ends[majority() - 1]);
}

} // namespace almondlever

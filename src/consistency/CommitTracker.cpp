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
    assert(waits_.count(id) == 0);
    Wait wait;
    wait.primary = primary;
    wait.position = position;
    wait.deadline = deadline;
    waits_.emplace(id, wait);
    // The time at which the write was sent is unknown, so this report must not count for a leadership confirmation.
    store({ primary, position.term, position, TimePoint::min() });
    return collect(now);
}

std::vector<Confirmation> CommitTracker::awaitLeadership(
    ConfirmationId id, const EndpointId& primary, Term term, TimePoint since, TimePoint deadline, TimePoint now)
{
    assert(waits_.count(id) == 0);
    Wait wait;
    wait.isLeadership = true;
    wait.primary = primary;
    wait.position.term = term;
    wait.since = since;
    wait.deadline = deadline;
    waits_.emplace(id, wait);
    return collect(now);
}

std::vector<Confirmation> CommitTracker::onReport(const PositionReport& report, TimePoint now)
{
    store(report);
    return collect(now);
}

std::vector<Confirmation> CommitTracker::onTick(TimePoint now) { return collect(now); }

std::optional<LogPosition> CommitTracker::wantedFrom(const EndpointId& endpoint) const
{
    std::optional<LogPosition> wanted;
    for (const auto& [id, wait] : waits_) {
        if (wait.isLeadership || counts(wait, endpoint) || isPast(wait.position.term, endpoint))
            continue;
        if (!wanted || wait.position < *wanted)
            wanted = wait.position;
    }
    return wanted;
}

bool CommitTracker::needsFreshReport(const EndpointId& endpoint) const
{
    return std::any_of(waits_.begin(), waits_.end(), [&](const auto& entry) {
        const Wait& wait = entry.second;
        return wait.isLeadership && !counts(wait, endpoint) && !isPast(wait.position.term, endpoint);
    });
}

LogPosition CommitTracker::confirmedPosition() const { return confirmed_; }

std::size_t CommitTracker::waitingCount() const { return waits_.size(); }

void CommitTracker::store(const PositionReport& report)
{
    if (std::find(group_.begin(), group_.end(), report.endpoint) == group_.end())
        return;
    const auto [entry, isNew] = reports_.emplace(report.endpoint, report);
    PositionReport& known = entry->second;
    if (!isNew && report.promisedTerm > known.promisedTerm) {
        known = report;
    } else if (!isNew && report.promisedTerm == known.promisedTerm) {
        // Reports may arrive out of order. While a server keeps its promise, its log of that term only grows.
        known.logEnd = std::max(known.logEnd, report.logEnd);
        known.askedAt = std::max(known.askedAt, report.askedAt);
    }
    raiseConfirmed();
}

bool CommitTracker::counts(const Wait& wait, const EndpointId& endpoint) const
{
    const auto found = reports_.find(endpoint);
    if (found == reports_.end())
        return false;
    const PositionReport& report = found->second;
    if (report.promisedTerm != wait.position.term)
        return false;
    if (wait.isLeadership)
        return report.askedAt >= wait.since;
    // A log that ends in another term need not contain the position, even if its end compares higher.
    return report.logEnd.term == wait.position.term && report.logEnd.index >= wait.position.index;
}

bool CommitTracker::isPast(Term term, const EndpointId& endpoint) const
{
    const auto found = reports_.find(endpoint);
    return found != reports_.end() && found->second.promisedTerm > term;
}

std::optional<Confirmation::Verdict> CommitTracker::judge(const Wait& wait, TimePoint now) const
{
    const auto holders = static_cast<std::size_t>(std::count_if(
        group_.begin(), group_.end(), [&](const EndpointId& endpoint) { return counts(wait, endpoint); }));
    if (holders >= majority())
        return Confirmation::Verdict::Confirmed;
    const auto lost = static_cast<std::size_t>(std::count_if(group_.begin(), group_.end(),
        [&](const EndpointId& endpoint) { return isPast(wait.position.term, endpoint); }));
    if (group_.size() - lost < majority())
        return Confirmation::Verdict::Superseded;
    if (now >= wait.deadline)
        return Confirmation::Verdict::TimedOut;
    return std::nullopt;
}

std::vector<Confirmation> CommitTracker::collect(TimePoint now)
{
    std::vector<Confirmation> ended;
    for (auto entry = waits_.begin(); entry != waits_.end();) {
        const auto verdict = judge(entry->second, now);
        if (!verdict) {
            ++entry;
            continue;
        }
        ended.push_back({ entry->first, *verdict });
        entry = waits_.erase(entry);
    }
    return ended;
}

void CommitTracker::raiseConfirmed()
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

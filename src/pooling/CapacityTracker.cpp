#include "CapacityTracker.h"

#include <algorithm>
#include <cmath>

namespace almondlever {

namespace {

    /** A statement that ran for less when its deadline passed had spent its time in a queue of this daemon; the usual
     * statements take a tenth of it. */
    constexpr Milliseconds leastTimeout { 300 };

    std::string toText(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
    }

    std::string toText(double value)
    {
        // Two decimals without the locale.
        const auto hundredths = std::lround(value * 100);
        std::string text = std::to_string(hundredths % 100);
        return std::to_string(hundredths / 100) + (text.size() < 2 ? ".0" : ".") + text;
    }

} // namespace

void CapacityTracker::retain(const GroupId& group, const std::vector<EndpointId>& ids)
{
    const auto found = groups_.find(group);
    if (found != groups_.end())
        found->second.retain(ids);
}

StatementClass CapacityTracker::classOf(const StatementRequest& request, bool isInTransaction)
{
    const bool isCommit = request.statement.kind == StatementKind::Commit;
    const bool isWaiting = request.isWrite && (isCommit || (!isInTransaction && !request.opensTransaction));
    if (isWaiting)
        return { StatementClass::Type::Commit, request.rank };
    if (request.isWrite && !isCommit)
        return { StatementClass::Type::Write, request.rank };
    const bool isRead
        = request.statement.kind == StatementKind::Read || request.statement.kind == StatementKind::Execute;
    return { isRead ? StatementClass::Type::Read : StatementClass::Type::Other, request.rank };
}

void CapacityTracker::noteAnswer(const StatementRequest& request, bool isInTransaction, const EndpointId& id,
    Duration latency, std::size_t running, TimePoint now)
{
    endpoint(request.group, id).noteAnswer(classOf(request, isInTransaction), latency, running, now);
}

void CapacityTracker::noteError(
    const StatementRequest& request, bool isInTransaction, const EndpointId& id, StatementError error, TimePoint now)
{
    const StatementClass kind = classOf(request, isInTransaction);
    if (error == StatementError::Busy)
        endpoint(request.group, id).noteRefusal(kind, now);
    // A faulty statement fails at every endpoint alike, so the comparison with the others tells it from a faulty one.
    else if (error == StatementError::Failed || error == StatementError::TimedOut)
        endpoint(request.group, id).noteFailure(kind, now);
}

void CapacityTracker::noteLost(
    const StatementRequest& request, bool isInTransaction, const EndpointId& id, TimePoint now)
{
    endpoint(request.group, id).noteFailure(classOf(request, isInTransaction), now);
}

void CapacityTracker::noteTimeout(
    const StatementRequest& request, bool isInTransaction, const EndpointId& id, Duration ran, TimePoint now)
{
    if (ran >= leastTimeout)
        endpoint(request.group, id).noteFailure(classOf(request, isInTransaction), now);
}

std::vector<CapacityCandidate> CapacityTracker::toCandidates(
    const std::vector<const EndpointEntry*>& entries, const std::vector<ReadCandidate>& candidates)
{
    std::vector<CapacityCandidate> converted;
    converted.reserve(candidates.size());
    for (const ReadCandidate& candidate : candidates) {
        CapacityCandidate added;
        added.index = candidate.index;
        added.endpoint = entries[candidate.index]->id;
        added.isPrimary = candidate.isPrimary;
        added.hasFreeConnection = candidate.hasFreeConnection;
        added.canServe = candidate.isUsable;
        added.running = candidate.running;
        added.slots = candidate.slots;
        added.openingTime = candidate.openingTime;
        converted.push_back(std::move(added));
    }
    return converted;
}

std::optional<std::size_t> CapacityTracker::selectRead(const GroupId& group,
    const std::vector<const EndpointEntry*>& entries, const std::vector<ReadCandidate>& candidates,
    const LogPosition& minimum, const StatementRequest& request, TimePoint now)
{
    std::vector<ReadCandidate> allowed;
    for (const ReadCandidate& candidate : candidates) {
        if (isPossible(candidate, minimum))
            allowed.push_back(candidate);
    }
    return groupOf(group).chooseRead(toCandidates(entries, allowed), classOf(request, false), now);
}

void CapacityTracker::withhold(const GroupId& group, const std::vector<const EndpointEntry*>& entries,
    std::vector<ReadCandidate>& candidates) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end() || found->second.areAllAdmitted())
        return;
    std::vector<CapacityCandidate> converted = toCandidates(entries, candidates);
    found->second.withhold(converted);
    for (std::size_t number = 0; number < candidates.size(); ++number)
        candidates[number].hasFreeConnection = converted[number].hasFreeConnection;
}

bool CapacityTracker::mayRead(const GroupId& group, const EndpointId& id) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() || found->second.mayRead(id);
}

void CapacityTracker::evaluate(const GroupId& group, const std::vector<EndpointId>& serving, TimePoint now)
{
    GroupCapacity& capacity = groupOf(group);
    capacity.evaluate(serving, now);
    for (const CapacityChange& change : capacity.takeChanges())
        report(group, change, now);
}

void CapacityTracker::report(const GroupId& group, const CapacityChange& change, TimePoint now)
{
    const bool isWindow = change.kind == CapacityChange::Kind::WindowChanged;
    metrics_.count("almondlever_endpoint_capacity_changes_total",
        "endpoint=\"" + change.endpoint.text() + "\",change=\"" + almondlever::toText(change.kind) + "\",reason=\""
            + change.reason + '"');
    metrics_.setGauge("almondlever_endpoint_concurrency", "endpoint=\"" + change.endpoint.text() + '"', change.window);
    // Windows change often under load; ejections concern every caller of the group.
    if (!log_.admits(isWindow ? StatementClass::ranks : 0, now))
        return;
    log_.write(almondlever::toText(change.kind),
        { { "group", group.text() }, { "endpoint", change.endpoint.text() },
            { "reason", change.reason.empty() ? "none" : change.reason }, { "own_reads", toText(change.own.answers) },
            { "own_failures", toText(change.own.failures) }, { "own_refusals", toText(change.own.refusals) },
            { "reported_reads", toText(change.reported.answers) },
            { "reported_failures", toText(change.reported.failures) }, { "excess_ms", toText(change.excess) },
            { "unloaded_ms", toText(change.unloaded) }, { "concurrency", toText(change.window) },
            { "former_concurrency", toText(change.formerWindow) },
            { "ejection_ms", std::to_string(change.ejectionTime.count()) } });
}

void CapacityTracker::fillReport(GroupReport& report, TimePoint now)
{
    const auto found = groups_.find(report.group);
    if (found != groups_.end())
        found->second.fillReport(report, now);
}

void CapacityTracker::onReport(const VmId& from, const GroupReport& report, TimePoint now)
{
    const auto found = groups_.find(report.group);
    if (found != groups_.end())
        found->second.onReport(from, report, now);
}

} // namespace almondlever

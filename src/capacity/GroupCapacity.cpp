#include "almondlever/capacity/GroupCapacity.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace almondlever {

namespace {

    /** Penalty of the primary: only it can run writes, so reads prefer replicas that are no busier. */
    constexpr double primaryPenalty = 1.5;
    /** Slots assumed when an endpoint does not report them: the smallest number in use. */
    constexpr double defaultSlots = 3;
    /** Latency assumed before the first answer of the group; between that of a nearby and a remote endpoint. */
    constexpr Milliseconds initialLatency { 30 };
    /** Interval of the line about an endpoint that is kept because no other can serve. */
    constexpr Milliseconds keptInterval { 5000 };

    StatementCounts sum(const StatementCounts& left, const StatementCounts& right)
    {
        return { left.answers + right.answers, left.failures + right.failures, left.refusals + right.refusals };
    }

} // namespace

void GroupCapacity::setRunning(const EndpointId& id, std::size_t running) { running_[id] = running; }

void GroupCapacity::retain(const std::vector<EndpointId>& ids)
{
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        const bool isListed = std::find(ids.begin(), ids.end(), it->first) != ids.end();
        if (isListed) {
            ++it;
            continue;
        }
        running_.erase(it->first);
        loggedWindows_.erase(it->first);
        it = endpoints_.erase(it);
    }
}

EndpointCapacity::State GroupCapacity::stateOf(const EndpointId& id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? EndpointCapacity::State::Admitted : found->second.state();
}

bool GroupCapacity::mayRead(const EndpointId& id) const { return stateOf(id) != EndpointCapacity::State::Ejected; }

bool GroupCapacity::areAllAdmitted() const
{
    return std::all_of(endpoints_.begin(), endpoints_.end(),
        [](const auto& entry) { return entry.second.state() == EndpointCapacity::State::Admitted; });
}

void GroupCapacity::withhold(std::vector<CapacityCandidate>& candidates) const
{
    const bool canAdmittedServe
        = std::any_of(candidates.begin(), candidates.end(), [this](const CapacityCandidate& candidate) {
              return candidate.canServe && stateOf(candidate.endpoint) == EndpointCapacity::State::Admitted;
          });
    if (!canAdmittedServe)
        return;
    const bool hasAdmittedRoom
        = std::any_of(candidates.begin(), candidates.end(), [this](const CapacityCandidate& candidate) {
              return candidate.hasFreeConnection && stateOf(candidate.endpoint) == EndpointCapacity::State::Admitted;
          });
    for (CapacityCandidate& candidate : candidates) {
        const auto found = endpoints_.find(candidate.endpoint);
        const bool isAdmitted = stateOf(candidate.endpoint) == EndpointCapacity::State::Admitted;
        const bool mayTake
            = isAdmitted || found->second.hasReturningRead() || (!hasAdmittedRoom && found->second.takesOverflow());
        if (!mayTake)
            candidate.hasFreeConnection = false;
    }
}

Duration GroupCapacity::expectedCompletion(
    const CapacityCandidate& candidate, const StatementClass& kind, TimePoint now) const
{
    Duration latency = initialLatency;
    const auto found = endpoints_.find(candidate.endpoint);
    if (found != endpoints_.end()) {
        const std::optional<Duration> own = found->second.expectedLatency(kind, now);
        if (own) {
            latency = *own;
        } else {
            // The class is new at this endpoint; another endpoint's unloaded latency is the best estimate.
            for (const auto& [id, other] : endpoints_) {
                const std::optional<Duration> unloaded = other.unloadedLatency(kind);
                if (unloaded)
                    latency = *unloaded;
            }
            latency += found->second.excess(now);
        }
    }
    const double slots = candidate.slots > 0 ? static_cast<double>(candidate.slots) : defaultSlots;
    // The statements of other owners show in the excess. Their last reports are too old to be added here: in the
    // simulation the owners then moved together, and the mean of a group that had recovered doubled.
    const double queue = 1 + static_cast<double>(candidate.running) / slots;
    const double factor = queue * (candidate.isPrimary ? primaryPenalty : 1);
    return std::chrono::duration_cast<Duration>(latency * factor) + candidate.openingTime;
}

std::optional<std::size_t> GroupCapacity::chooseRead(
    std::vector<CapacityCandidate> candidates, const StatementClass& kind, TimePoint now)
{
    for (const CapacityCandidate& candidate : candidates) {
        const auto found = endpoints_.find(candidate.endpoint);
        if (found != endpoints_.end() && candidate.canServe)
            found->second.countRead();
    }
    withhold(candidates);
    const CapacityCandidate* best = nullptr;
    Duration bestTime { 0 };
    for (const CapacityCandidate& candidate : candidates) {
        if (!candidate.hasFreeConnection)
            continue;
        const auto found = endpoints_.find(candidate.endpoint);
        if (found != endpoints_.end() && found->second.hasReturningRead()) {
            found->second.takeReturningRead();
            return candidate.index;
        }
        const Duration time = expectedCompletion(candidate, kind, now);
        if (!best || time < bestTime) {
            best = &candidate;
            bestTime = time;
        }
    }
    return best ? std::optional<std::size_t>(best->index) : std::nullopt;
}

bool GroupCapacity::isBeyondPeers(
    const EndpointId& id, double share, double (StatementCounts::*shareOf)() const, TimePoint now) const
{
    StatementCounts others;
    for (const auto& [other, capacity] : endpoints_) {
        if (other != id)
            others = sum(others, sum(capacity.ownReads(now), capacity.reportedReads(now)));
    }
    return share >= factorBeyondPeers * (others.*shareOf)();
}

bool GroupCapacity::isSlowerThanPeers(const EndpointId& id, const EndpointCapacity& capacity, TimePoint now) const
{
    const Duration excess = capacity.excess(now);
    if (excess < excessToEject || capacity.evidence(now) < evidenceToEject)
        return false;
    std::optional<Duration> best;
    for (const auto& [other, peer] : endpoints_) {
        if (other == id || peer.state() == EndpointCapacity::State::Ejected)
            continue;
        const Duration latency = peer.meanUnloadedLatency() + peer.excess(now);
        if (peer.evidence(now) >= 1 && (!best || latency < *best))
            best = latency;
    }
    return best && capacity.meanUnloadedLatency() + excess >= *best * latencyFactorToEject;
}

const char* GroupCapacity::reasonToEject(const EndpointId& id, const EndpointCapacity& capacity, TimePoint now) const
{
    const StatementCounts own = capacity.ownReads(now);
    const StatementCounts all = sum(own, capacity.reportedReads(now));
    const bool isProvenGood = own.answers >= answersThatProve && own.failureShare() <= provenFailureShare;
    const auto fails = [this, &id, now](const StatementCounts& counts) {
        return counts.failures >= failuresToEject && counts.failureShare() >= failureShareToEject
            && isBeyondPeers(id, counts.failureShare(), &StatementCounts::failureShare, now);
    };
    if (fails(own))
        return "own_failures";
    if (!isProvenGood && fails(all))
        return "failures";
    const bool isReturning = capacity.state() == EndpointCapacity::State::Returning;
    if (isReturning && own.failures > 0)
        return "failed_returning";
    const bool refuses = own.refusals >= refusalsToEject && own.refusalShare() >= refusalShareToEject
        && capacity.excess(now) < EndpointCapacity::toleratedExcess
        && isBeyondPeers(id, own.refusalShare(), &StatementCounts::refusalShare, now);
    if (refuses)
        return "refusals";
    return isSlowerThanPeers(id, capacity, now) ? "latency" : nullptr;
}

void GroupCapacity::evaluate(const std::vector<EndpointId>& serving, TimePoint now)
{
    const auto serves
        = [&serving](const EndpointId& id) { return std::find(serving.begin(), serving.end(), id) != serving.end(); };
    for (auto& [id, capacity] : endpoints_) {
        if (capacity.advance(now)) {
            const bool isReturning = capacity.state() == EndpointCapacity::State::Returning;
            addChange(
                id, capacity, isReturning ? CapacityChange::Kind::Returning : CapacityChange::Kind::Admitted, "", now);
        }
        double& logged = loggedWindows_.try_emplace(id, capacity.window()).first->second;
        const double ratio = capacity.window() / logged;
        if (ratio >= loggedWindowFactor || ratio <= 1 / loggedWindowFactor) {
            addChange(id, capacity, CapacityChange::Kind::WindowChanged, "", now);
            logged = capacity.window();
        }
        if (capacity.state() == EndpointCapacity::State::Ejected)
            continue;
        const char* reason = reasonToEject(id, capacity, now);
        if (!reason)
            continue;
        const bool canOtherServe
            = std::any_of(endpoints_.begin(), endpoints_.end(), [&serves, &self = id](const auto& other) {
                  return other.first != self && serves(other.first)
                      && other.second.state() == EndpointCapacity::State::Admitted;
              });
        if (canOtherServe) {
            // What a failing endpoint fails is repeated elsewhere; without it, the others may be overloaded.
            capacity.eject(std::string_view(reason) != "latency", now);
            addChange(id, capacity, CapacityChange::Kind::Ejected, reason, now);
        } else if (!keptAt_ || now - *keptAt_ >= keptInterval) {
            keptAt_ = now;
            addChange(id, capacity, CapacityChange::Kind::Kept, reason, now);
        }
    }
}

void GroupCapacity::addChange(const EndpointId& id, const EndpointCapacity& capacity, CapacityChange::Kind kind,
    const char* reason, TimePoint now)
{
    CapacityChange change;
    change.endpoint = id;
    change.kind = kind;
    change.reason = reason;
    change.own = capacity.ownReads(now);
    change.reported = capacity.reportedReads(now);
    change.excess = capacity.excess(now);
    change.unloaded = capacity.meanUnloadedLatency();
    change.window = capacity.window();
    const auto logged = loggedWindows_.find(id);
    change.formerWindow = logged == loggedWindows_.end() ? capacity.window() : logged->second;
    change.ejectionTime = capacity.ejectionTime();
    changes_.push_back(std::move(change));
}

std::vector<CapacityChange> GroupCapacity::takeChanges() { return std::exchange(changes_, {}); }

void GroupCapacity::fillReport(GroupReport& report, TimePoint now) const
{
    for (const auto& [id, capacity] : endpoints_) {
        const auto running = running_.find(id);
        capacity.fillReport(id, running == running_.end() ? 0 : running->second, report.endpoints, now);
    }
}

void GroupCapacity::onReport(const VmId& from, const GroupReport& report, TimePoint now)
{
    for (auto& [id, capacity] : endpoints_) {
        std::vector<const EndpointReport*> entries;
        for (const EndpointReport& entry : report.endpoints) {
            if (entry.endpoint == id)
                entries.push_back(&entry);
        }
        capacity.noteReport(from, entries, report.period, now);
    }
}

const char* toText(CapacityChange::Kind kind)
{
    switch (kind) {
    case CapacityChange::Kind::Ejected:
        return "endpoint_ejected";
    case CapacityChange::Kind::Returning:
        return "endpoint_returning";
    case CapacityChange::Kind::Admitted:
        return "endpoint_admitted";
    case CapacityChange::Kind::Kept:
        return "endpoint_kept";
    case CapacityChange::Kind::WindowChanged:
        break;
    }
    return "endpoint_concurrency_changed";
}

} // namespace almondlever

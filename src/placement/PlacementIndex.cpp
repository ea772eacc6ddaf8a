#include "almondlever/placement/PlacementIndex.h"

#include "Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <unordered_set>

namespace almondlever {

namespace {

    /** Distances of a candidate from an endpoint: same failure domain, same region, elsewhere. */
    constexpr std::size_t sameDomain = 0;
    constexpr std::size_t sameRegion = 1;
    constexpr std::size_t elsewhere = 2;

} // namespace

struct PlacementIndex::Domain {
    FailureDomainId id;
    RegionId region;
    /** Daemons in this failure domain. */
    std::vector<Candidate> candidates;
    /** Endpoints in this failure domain, as indexes into placed_. */
    std::vector<std::size_t> placed;
    /** Distance of the nearest candidates at the last update; only these may own the domain's endpoints. */
    std::size_t nearestDistance = elsewhere;
};

PlacementIndex::PlacementIndex(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration))
{
    assert(configuration_);
    for (const DatabaseDescription& database : configuration_->databases) {
        databases_.emplace(database.id, &database);
        for (const EndpointDescription& endpoint : database.endpoints) {
            const std::size_t index = placed_.size();
            placed_.push_back({ &endpoint, hashName(endpoint.id.text()), 0, VmId() });
            placedById_.emplace(endpoint.id, index);
            domainAt(endpoint.failureDomain).placed.push_back(index);
        }
    }
}

PlacementIndex::~PlacementIndex() = default;
PlacementIndex::PlacementIndex(PlacementIndex&&) noexcept = default;
PlacementIndex& PlacementIndex::operator=(PlacementIndex&&) noexcept = default;

std::vector<EndpointId> PlacementIndex::update(const MembershipView& view)
{
    std::vector<const LiveDaemon*> eligible;
    eligible.reserve(view.daemons.size());
    for (const LiveDaemon& daemon : view.daemons)
        if (!daemon.isLeaving)
            eligible.push_back(&daemon);
    std::sort(eligible.begin(), eligible.end(),
        [](const LiveDaemon* left, const LiveDaemon* right) { return left->id < right->id; });

    std::vector<Candidate> next;
    std::vector<Candidate> added;
    std::vector<Candidate> removed;
    next.reserve(eligible.size());
    auto previous = candidates_.begin();
    for (const LiveDaemon* daemon : eligible) {
        while (previous != candidates_.end() && previous->id < daemon->id)
            removed.push_back(std::move(*previous++));
        const bool isKnown = previous != candidates_.end() && previous->id == daemon->id;
        if (isKnown && previous->failureDomain == daemon->failureDomain) {
            next.push_back(std::move(*previous++));
            continue;
        }
        if (isKnown)
            removed.push_back(std::move(*previous++));
        added.push_back({ daemon->id, daemon->failureDomain, hashName(daemon->id.text()) });
        next.push_back(added.back());
    }
    std::move(previous, candidates_.end(), std::back_inserter(removed));
    candidates_ = std::move(next);

    for (const Candidate& candidate : removed)
        remove(candidate);
    for (const Candidate& candidate : added)
        add(candidate);

    recomputedCount_ = 0;
    std::vector<std::size_t> changed;
    for (Domain& domain : domains_)
        updateDomain(domain, added, removed, changed);
    std::sort(changed.begin(), changed.end());
    std::vector<EndpointId> moved;
    moved.reserve(changed.size());
    for (const std::size_t index : changed)
        moved.push_back(placed_[index].endpoint->id);
    return moved;
}

void PlacementIndex::updateDomain(Domain& domain, const std::vector<Candidate>& added,
    const std::vector<Candidate>& removed, std::vector<std::size_t>& changed)
{
    if (domain.placed.empty())
        return;
    const std::size_t distance = nearestDistanceOf(domain);
    const bool hasDistanceChanged = distance != domain.nearestDistance;
    domain.nearestDistance = distance;
    const std::vector<const Candidate*> addedCandidates = candidatesAt(domain, distance, added);
    const std::vector<const Candidate*> removedCandidates = candidatesAt(domain, distance, removed);
    // Once more than half of the candidates are new, comparing each of them costs as much as recomputing all owners.
    const bool recomputesAll = hasDistanceChanged || addedCandidates.size() > candidateCount(domain, distance) / 2;
    if (!recomputesAll && addedCandidates.empty() && removedCandidates.empty())
        return;
    std::unordered_set<VmId> removedIds;
    for (const Candidate* candidate : removedCandidates)
        removedIds.insert(candidate->id);
    for (const std::size_t index : domain.placed) {
        PlacedEndpoint& placed = placed_[index];
        const VmId before = placed.owner;
        if (recomputesAll || placed.owner.isEmpty() || (!removedIds.empty() && removedIds.count(placed.owner) > 0))
            recompute(domain, placed);
        else
            for (const Candidate* candidate : addedCandidates)
                considerCandidate(placed, *candidate);
        if (placed.owner != before)
            changed.push_back(index);
    }
}

VmId PlacementIndex::ownerOf(const EndpointId& id) const
{
    const auto found = placedById_.find(id);
    return found == placedById_.end() ? VmId() : placed_[found->second].owner;
}

std::vector<VmId> PlacementIndex::observersOf(const DatabaseId& id, const MembershipView& view) const
{
    const auto found = databases_.find(id);
    if (found == databases_.end())
        return {};
    const DatabaseDescription& database = *found->second;
    std::vector<VmId> observers;
    for (const EndpointDescription& endpoint : database.endpoints) {
        const VmId owner = ownerOf(endpoint.id);
        if (!owner.isEmpty() && std::find(observers.begin(), observers.end(), owner) == observers.end())
            observers.push_back(owner);
    }
    fillAcrossFailureDomains(observers, database.endpoints.size(), id.text(), view);
    return observers;
}

PlacementIndex::Domain& PlacementIndex::domainAt(const FailureDomainId& id)
{
    const auto [found, isNew] = domainsById_.try_emplace(id, domains_.size());
    if (isNew) {
        domains_.emplace_back();
        domains_.back().id = id;
        domains_.back().region = configuration_->regionOf(id);
    }
    return domains_[found->second];
}

void PlacementIndex::add(const Candidate& candidate)
{
    domainAt(candidate.failureDomain).candidates.push_back(candidate);
}

void PlacementIndex::remove(const Candidate& candidate)
{
    std::vector<Candidate>& candidates = domainAt(candidate.failureDomain).candidates;
    const auto found = std::find_if(
        candidates.begin(), candidates.end(), [&](const Candidate& other) { return other.id == candidate.id; });
    assert(found != candidates.end());
    std::swap(*found, candidates.back());
    candidates.pop_back();
}

std::size_t PlacementIndex::domainDistance(const Domain& from, const Domain& other)
{
    if (from.id == other.id)
        return sameDomain;
    return !from.region.isEmpty() && from.region == other.region ? sameRegion : elsewhere;
}

std::size_t PlacementIndex::nearestDistanceOf(const Domain& domain) const
{
    std::size_t nearest = elsewhere;
    for (const Domain& other : domains_)
        if (!other.candidates.empty())
            nearest = std::min(nearest, domainDistance(domain, other));
    return nearest;
}

std::size_t PlacementIndex::candidateCount(const Domain& domain, std::size_t distance) const
{
    std::size_t count = 0;
    for (const Domain& other : domains_)
        if (domainDistance(domain, other) == distance)
            count += other.candidates.size();
    return count;
}

std::vector<const PlacementIndex::Candidate*> PlacementIndex::candidatesAt(
    const Domain& domain, std::size_t distance, const std::vector<Candidate>& candidates) const
{
    std::vector<const Candidate*> found;
    for (const Candidate& candidate : candidates)
        if (domainDistance(domain, domains_[domainsById_.at(candidate.failureDomain)]) == distance)
            found.push_back(&candidate);
    return found;
}

void PlacementIndex::recompute(const Domain& domain, PlacedEndpoint& placed)
{
    ++recomputedCount_;
    placed.owner = VmId();
    const Candidate* best = nullptr;
    for (const Domain& other : domains_) {
        if (domainDistance(domain, other) != domain.nearestDistance)
            continue;
        for (const Candidate& candidate : other.candidates) {
            const std::uint64_t score = rendezvousScore(placed.hash, candidate.hash);
            if (best && !wins(score, candidate.id, placed.score, best->id))
                continue;
            best = &candidate;
            placed.score = score;
        }
    }
    if (best)
        placed.owner = best->id;
}

void PlacementIndex::considerCandidate(PlacedEndpoint& placed, const Candidate& candidate)
{
    const std::uint64_t score = rendezvousScore(placed.hash, candidate.hash);
    if (!wins(score, candidate.id, placed.score, placed.owner))
        return;
    placed.score = score;
    placed.owner = candidate.id;
}

} // namespace almondlever

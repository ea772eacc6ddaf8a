#include "almondlever/placement/PlacementIndex.h"

#include "Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <unordered_set>

namespace almondlever {

namespace {

    /** How far an endpoint's candidates are: own failure domain, own region, anywhere. */
    constexpr std::size_t sameDomain = 0;
    constexpr std::size_t sameRegion = 1;
    constexpr std::size_t elsewhere = 2;

} // namespace

struct PlacementIndex::Domain {
    FailureDomainId id;
    RegionId region;
    std::vector<Candidate> candidates;
    /** Indexes into placed_. */
    std::vector<std::size_t> placed;
    /** Distance of the nearest candidates at the last update. */
    std::size_t tier = elsewhere;
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

    recomputed_ = 0;
    std::vector<std::size_t> changed;
    for (Domain& domain : domains_)
        follow(domain, added, removed, changed);
    std::sort(changed.begin(), changed.end());
    std::vector<EndpointId> moved;
    moved.reserve(changed.size());
    for (const std::size_t index : changed)
        moved.push_back(placed_[index].endpoint->id);
    return moved;
}

void PlacementIndex::follow(Domain& domain, const std::vector<Candidate>& added, const std::vector<Candidate>& removed,
    std::vector<std::size_t>& changed)
{
    if (domain.placed.empty())
        return;
    const std::size_t tier = nearestTier(domain);
    const bool isOtherTier = tier != domain.tier;
    domain.tier = tier;
    const std::vector<const Candidate*> arrivals = within(domain, tier, added);
    const std::vector<const Candidate*> departures = within(domain, tier, removed);
    // Comparing each arrival costs as much as a whole computation once the arrivals are most of the candidates.
    const bool isWhole = isOtherTier || arrivals.size() > candidateCount(domain, tier) / 2;
    if (!isWhole && arrivals.empty() && departures.empty())
        return;
    std::unordered_set<VmId> gone;
    for (const Candidate* candidate : departures)
        gone.insert(candidate->id);
    for (const std::size_t index : domain.placed) {
        Placed& placed = placed_[index];
        const VmId before = placed.owner;
        if (isWhole || placed.owner.isEmpty() || (!gone.empty() && gone.count(placed.owner) > 0))
            recompute(domain, placed);
        else
            for (const Candidate* candidate : arrivals)
                offer(placed, *candidate);
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
    completeSpread(observers, database.endpoints.size(), id.text(), view);
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

std::size_t PlacementIndex::distance(const Domain& from, const Domain& other)
{
    if (from.id == other.id)
        return sameDomain;
    return !from.region.isEmpty() && from.region == other.region ? sameRegion : elsewhere;
}

std::size_t PlacementIndex::nearestTier(const Domain& domain) const
{
    std::size_t nearest = elsewhere;
    for (const Domain& other : domains_)
        if (!other.candidates.empty())
            nearest = std::min(nearest, distance(domain, other));
    return nearest;
}

std::size_t PlacementIndex::candidateCount(const Domain& domain, std::size_t tier) const
{
    std::size_t count = 0;
    for (const Domain& other : domains_)
        if (distance(domain, other) == tier)
            count += other.candidates.size();
    return count;
}

std::vector<const PlacementIndex::Candidate*> PlacementIndex::within(
    const Domain& domain, std::size_t tier, const std::vector<Candidate>& candidates) const
{
    std::vector<const Candidate*> found;
    for (const Candidate& candidate : candidates)
        if (distance(domain, domains_[domainsById_.at(candidate.failureDomain)]) == tier)
            found.push_back(&candidate);
    return found;
}

void PlacementIndex::recompute(const Domain& domain, Placed& placed)
{
    ++recomputed_;
    placed.owner = VmId();
    const Candidate* best = nullptr;
    for (const Domain& other : domains_) {
        if (distance(domain, other) != domain.tier)
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

void PlacementIndex::offer(Placed& placed, const Candidate& candidate)
{
    const std::uint64_t score = rendezvousScore(placed.hash, candidate.hash);
    if (!wins(score, candidate.id, placed.score, placed.owner))
        return;
    placed.score = score;
    placed.owner = candidate.id;
}

} // namespace almondlever

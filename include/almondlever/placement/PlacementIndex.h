#pragma once

#include "almondlever/config/Configuration.h"
#include "almondlever/membership/MembershipView.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace almondlever {

/**
 * The owners of all endpoints, kept up to date as daemons come and go. Returns the same results as ownerOf() and
 * observersOf(), but a change of membership only processes the endpoints that it may move. Not thread-safe.
 *
 * @see ownerOf, observersOf
 */
class PlacementIndex {
public:
    /** Starts without daemons. A new configuration requires a new index. */
    explicit PlacementIndex(std::shared_ptr<const Configuration>);
    ~PlacementIndex();
    PlacementIndex(PlacementIndex&&) noexcept;
    PlacementIndex& operator=(PlacementIndex&&) noexcept;

    /** Applies a membership view and returns the endpoints whose owner changed, in the configuration's order. */
    std::vector<EndpointId> update(const MembershipView&);

    /** The owner; empty when no daemon is eligible or the endpoint is unknown. */
    VmId ownerOf(const EndpointId&) const;
    /** The observers of a database, in order of rank; empty when it is unknown. The view is that of the last update. */
    std::vector<VmId> observersOf(const DatabaseId&, const MembershipView&) const;
    /** Number of endpoints whose owner was computed by the last update, as a measure of its work. */
    std::size_t recomputedCount() const { return recomputedCount_; }

private:
    /** A daemon that may own endpoints. */
    struct Candidate {
        VmId id;
        FailureDomainId failureDomain;
        std::uint64_t hash = 0;
    };
    struct PlacedEndpoint {
        const EndpointDescription* endpoint = nullptr;
        std::uint64_t hash = 0;
        std::uint64_t score = 0;
        VmId owner;
    };
    /** A failure domain with its endpoints and the daemons that may own them. */
    struct Domain;

    Domain& domainAt(const FailureDomainId&);
    void add(const Candidate&);
    void remove(const Candidate&);
    /** Updates the owners of a domain's endpoints and appends the indexes of those that changed. */
    void updateDomain(Domain&, const std::vector<Candidate>& added, const std::vector<Candidate>& removed,
        std::vector<std::size_t>& changed);
    static std::size_t domainDistance(const Domain& from, const Domain& other);
    std::size_t nearestDistanceOf(const Domain&) const;
    std::size_t candidateCount(const Domain&, std::size_t distance) const;
    std::vector<const Candidate*> candidatesAt(
        const Domain&, std::size_t distance, const std::vector<Candidate>& candidates) const;
    void recompute(const Domain&, PlacedEndpoint&);
    static void considerCandidate(PlacedEndpoint&, const Candidate&);

    std::shared_ptr<const Configuration> configuration_;
    std::vector<PlacedEndpoint> placed_;
    std::unordered_map<EndpointId, std::size_t> placedById_;
    std::unordered_map<DatabaseId, const DatabaseDescription*> databases_;
    std::vector<Domain> domains_;
    std::unordered_map<FailureDomainId, std::size_t> domainsById_;
    /** Sorted by id. */
    std::vector<Candidate> candidates_;
    std::size_t recomputedCount_ = 0;
};

} // namespace almondlever

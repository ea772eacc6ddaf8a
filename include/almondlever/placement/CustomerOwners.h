#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/sessions/Routing.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondlever {

/** Determines how evenly the statements of customers are spread over the owners of a group. */
struct CustomerOwnerSettings {
    /**
     * Load of the preferred owner, as a multiple of the mean of the owners in the region, above which customers spill.
     * 1.0 keeps the most loaded owner below 1.25 times the mean, because the small customers do not spill.
     */
    double loadFactor = 1.0;
    /** Statements count by half after this time; one daemon sends a group little more than one a second. */
    Milliseconds loadHalfLife { 20000 };
    /**
     * Only a customer with at least this share of the daemon's statements, over all groups, spills to another owner
     * because of load. Its next statement arrives soon and uses the connection again; a small customer would open one
     * for each spill.
     */
    double spillingShare = 0.08;
    /** Number of orders of owners, and of customers, that are kept; all are discarded beyond it. */
    std::size_t maximumCachedOrders = 4096;
};

/** Whether an owner can get a statement, as known to its sender. */
enum class OwnerAvailability {
    Ready,
    /** There is no open channel to it, so that a statement waits until one is established. */
    NotConnected,
    /** It is unresponsive or has already been tried. */
    Unusable,
};

/** Why an owner was chosen. */
enum class OwnerReason {
    /** It is the first in the customer's order. */
    Preferred,
    /** Those before it have more than their share of the load. */
    Load,
    /** Those before it cannot serve. */
    Unavailable,
    /** No owner in the region can serve. */
    OtherRegion,
};

const char* toText(OwnerReason);

/** The owner for a statement, with the inputs of the decision. */
struct OwnerChoice {
    /** nullptr if no owner can serve. It stays valid until the next change of the owners. */
    const LiveDaemon* owner = nullptr;
    /** The first owner in the customer's order. */
    const LiveDaemon* preferred = nullptr;
    OwnerReason reason = OwnerReason::Preferred;
    /** Recent statements of this daemon for the group: at the preferred owner, and the most that it may get. */
    double preferredLoad = 0;
    double bound = 0;
    /** Share of the customer in this daemon's recent statements. */
    double customerShare = 0;
};

/**
 * Chooses the owner of a group for the statements of a customer, so that a statement finds a connection of its customer
 * and no owner gets much more than the others. Rendezvous hashing of customer and group orders the owners of this
 * daemon's region; those of other regions follow and are used only if none in the region can serve.
 *
 * The load is the number of statements that this daemon sent recently. If each daemon keeps its own below a multiple of
 * its mean, the sum over all daemons of the region is below the same multiple, so no messages are needed. After a
 * change of the owners all counts are zero, and the hash alone decides. Not thread-safe.
 *
 * @see ownersOf, StatementForwarder
 */
class CustomerOwners {
public:
    using Availability = std::function<OwnerAvailability(const LiveDaemon&)>;

    /** Failure domains without a known region are regions of their own. */
    CustomerOwners(const FailureDomainId&, std::map<FailureDomainId, std::string> regions,
        const CustomerOwnerSettings& settings = {});

    void setOwners(const std::map<GroupId, std::vector<LiveDaemon>>&);
    OwnerChoice choose(const GroupId&, const CustomerId&, const Availability&, TimePoint now);
    /** Records that a statement was sent to an owner, or runs on this daemon. */
    void noteSent(const GroupId&, const CustomerId&, const VmId& owner, TimePoint now);

private:
    struct Owner {
        LiveDaemon daemon;
        std::uint64_t hash = 0;
        bool isInRegion = false;
        double load = 0;
    };

    /** Recent statements. */
    struct Demand {
        double load = 0;
        TimePoint at {};
    };

    struct Group {
        std::vector<Owner> owners;
        /** For each customer the indexes of the owners, the preferred one first; those of the region precede the
         * others. */
        std::unordered_map<CustomerId, std::vector<std::uint16_t>> orders;
        TimePoint loadAt {};
    };

    const std::string& regionOf(const FailureDomainId&) const;
    const std::vector<std::uint16_t>& orderOf(const GroupId&, Group&, const CustomerId&);
    /** Share of a customer in the recent statements of this daemon. */
    double shareOf(const CustomerId&, TimePoint now) const;
    /** Reduces a load by the time that has passed since `at`. */
    double decayed(double load, TimePoint at, TimePoint now) const;
    void decayLoads(Group&, TimePoint now) const;

    CustomerOwnerSettings settings_;
    std::map<FailureDomainId, std::string> regions_;
    std::string region_;
    std::map<GroupId, Group> groups_;
    std::size_t cachedOrders_ = 0;
    std::unordered_map<CustomerId, Demand> demand_;
    Demand total_;
    /** Owners of the region that can get the present statement; kept to avoid an allocation for each. */
    std::vector<const Owner*> ready_;
};

} // namespace almondlever

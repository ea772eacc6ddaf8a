#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace almondlever {

/** Determines which connections of customers stay open. */
struct LinkRetentionSettings {
    /** Statements count by half after this time; longer than the waves of demand, so that they close no connection. */
    Milliseconds demandHalfLife { 20000 };
    /** An idle connection beyond the kept share is closed when it is expected to be unused for longer than this. */
    Milliseconds surplusHorizon { 30000 };
    /** Shortest idle time after which a connection beyond the kept share is closed. */
    Milliseconds minimumIdleTime { 250 };
    /** Number of customers whose demand is kept; all are discarded beyond it. */
    std::size_t maximumCustomers = 1024;
};

/** An open connection, as seen by LinkRetention. */
struct RetainableLink {
    const CustomerId* customer = nullptr;
    bool isIdle = false;
    TimePoint idleSince;
};

/**
 * Decides which idle connections to an endpoint stay open, where a connection serves one customer for its lifetime. All
 * connections to an endpoint cost the same to open, so the one with the lowest probability of being needed again is
 * closed: the customer's request rate, times the probability that its other connections are in use when a request
 * arrives. Not thread-safe.
 */
class LinkRetention {
public:
    explicit LinkRetention(const LinkRetentionSettings& settings = {})
        : settings_(settings)
    {
    }

    /** Records that a statement of the customer takes a connection. */
    void noteStatement(const CustomerId&, TimePoint now);
    /** Statements per second of the customer. */
    double requestRate(const CustomerId&, TimePoint now) const;
    /** Rate at which the last of `count` connections of a customer is used, if each statement holds one for `held`. */
    double useRate(const CustomerId&, std::size_t count, Duration held, TimePoint now) const;
    /** Returns the index of the idle connection to close, so that another one can be opened; nullopt if none is idle.
     */
    std::optional<std::size_t> chooseForRoom(const std::vector<RetainableLink>&, Duration held, TimePoint now) const;
    /** Returns the index of a connection that is not worth keeping beyond the kept share; nullopt if there is none. */
    std::optional<std::size_t> chooseSurplus(const std::vector<RetainableLink>&, Duration held, TimePoint now) const;

private:
    struct Demand {
        /** Recent statements, each weighted by its age. */
        double statements = 0;
        TimePoint at {};
    };

    struct Candidate {
        std::size_t index = 0;
        double useRate = 0;
    };

    /** The idle connection with the lowest use rate; among equal ones, that which has been idle for longest. */
    std::optional<Candidate> leastUseful(const std::vector<RetainableLink>&, Duration held, TimePoint now) const;

    LinkRetentionSettings settings_;
    std::unordered_map<CustomerId, Demand> demand_;
};

} // namespace almondlever

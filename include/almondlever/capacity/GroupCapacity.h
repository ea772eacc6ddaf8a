#pragma once

#include "almondlever/capacity/EndpointCapacity.h"
#include "almondlever/capacity/OwnerReports.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** An endpoint that may serve a read: its log position was checked by the caller. */
struct CapacityCandidate {
    /** Index that the caller uses for the endpoint. */
    std::size_t index = 0;
    EndpointId endpoint;
    bool isPrimary = false;
    /** A connection is free or can be opened, and the window admits another statement. */
    bool hasFreeConnection = false;
    /** The endpoint answers and is not leaving, whether or not a connection is free. */
    bool canServe = false;
    /** Statements of this daemon that it has not answered. */
    std::size_t running = 0;
    /** Number of statements that it runs concurrently; 0 when it is not known. */
    std::size_t slots = 0;
    /** Time until a connection is open, if one must be opened. */
    Duration openingTime { 0 };
};

/** A decision about an endpoint, with its inputs, for the decision log. */
struct CapacityChange {
    enum class Kind { Ejected, Returning, Admitted, Kept, WindowChanged };

    EndpointId endpoint;
    Kind kind = Kind::Ejected;
    /** "failures", "own_failures", "refusals" or "latency"; empty for the other kinds. */
    std::string reason;
    StatementCounts own;
    StatementCounts reported;
    Duration excess { 0 };
    Duration unloaded { 0 };
    double window = 0;
    double formerWindow = 0;
    Milliseconds ejectionTime { 0 };
};

/** "endpoint_ejected", "endpoint_returning" and so on, the name of the log line. */
const char* toText(CapacityChange::Kind);

/**
 * The capacity of the endpoints of one group: chooses the endpoint of a read, and ejects endpoints whose statements
 * show that they serve worse than the others.
 *
 * Reads go to the endpoint with the lowest expected completion. An ejected endpoint gets no reads while another one can
 * serve; statements that only the primary can run are not affected. Not thread-safe.
 */
class GroupCapacity {
public:
    /** Counts and shares of reads that fail, from which an endpoint is ejected. A link that loses 2 % of the answers
     * reaches four failures of 24 statements in 0.1 % of the periods. */
    static constexpr double failuresToEject = 4;
    static constexpr double failureShareToEject = 0.15;
    /** As above, for refusals of an endpoint whose latency shows no queue. */
    static constexpr double refusalsToEject = 4;
    static constexpr double refusalShareToEject = 0.3;
    /** The share must be this multiple of the others' share: what fails everywhere is not the endpoint's fault. */
    static constexpr double factorBeyondPeers = 3;
    /** Own answers, and the largest share of failures among them, that prove an endpoint good despite reports. */
    static constexpr double answersThatProve = 5;
    static constexpr double provenFailureShare = 0.05;
    /** Latency beyond that of the best other endpoint from which an endpoint is ejected, and the least evidence. */
    static constexpr double latencyFactorToEject = 4;
    static constexpr Milliseconds excessToEject { 150 };
    static constexpr double evidenceToEject = 3;
    /** Change of a window that is logged. */
    static constexpr double loggedWindowFactor = 2;

    explicit GroupCapacity(GroupId group)
        : group_(std::move(group))
    {
    }

    EndpointCapacity& endpoint(const EndpointId& id) { return endpoints_[id]; }
    void setRunning(const EndpointId&, std::size_t);
    /** Forgets endpoints that are not listed. */
    void retain(const std::vector<EndpointId>&);

    /** Returns the index of the candidate that is expected to complete the read first; nullopt when none is free. */
    std::optional<std::size_t> chooseRead(std::vector<CapacityCandidate>, const StatementClass&, TimePoint now);
    /** Clears hasFreeConnection of those candidates that chooseRead() would not return. */
    void withhold(std::vector<CapacityCandidate>&) const;
    /** True if withhold() would change nothing. */
    bool areAllAdmitted() const;
    /** False for an ejected endpoint. */
    bool mayRead(const EndpointId&) const;
    /** Expected time until the candidate completes a read that is started now. */
    Duration expectedCompletion(const CapacityCandidate&, const StatementClass&, TimePoint now) const;

    /** Ejects and readmits endpoints; the list has those that can serve now. Call after failures and regularly. */
    void evaluate(const std::vector<EndpointId>& serving, TimePoint now);
    /** Returns and forgets the decisions since the last call. */
    std::vector<CapacityChange> takeChanges();

    void fillReport(GroupReport&, TimePoint now) const;
    void onReport(const VmId& from, const GroupReport&, TimePoint now);

private:
    EndpointCapacity::State stateOf(const EndpointId&) const;
    /** Reason to eject; nullptr when there is none. */
    const char* reasonToEject(const EndpointId&, const EndpointCapacity&, TimePoint now) const;
    bool isBeyondPeers(const EndpointId&, double share, double (StatementCounts::*)() const, TimePoint now) const;
    bool isSlowerThanPeers(const EndpointId&, const EndpointCapacity&, TimePoint now) const;
    void addChange(const EndpointId&, const EndpointCapacity&, CapacityChange::Kind, const char* reason, TimePoint now);

    GroupId group_;
    std::map<EndpointId, EndpointCapacity> endpoints_;
    std::map<EndpointId, std::size_t> running_;
    std::map<EndpointId, double> loggedWindows_;
    std::vector<CapacityChange> changes_;
    std::optional<TimePoint> keptAt_;
};

} // namespace almondlever

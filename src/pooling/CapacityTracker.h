#pragma once

#include "almondlever/capacity/GroupCapacity.h"
#include "almondlever/groups/EndpointEntry.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/pooling/EndpointSelection.h"
#include "almondlever/pooling/StatementRequest.h"

#include <map>
#include <vector>

namespace almondlever {

/** The learned capacity of the endpoints of all groups of a dispatcher, with its log lines and metrics. */
class CapacityTracker final : public GroupReportParticipant {
public:
    CapacityTracker(DecisionLog& log, Metrics& metrics)
        : log_(log)
        , metrics_(metrics)
    {
    }

    /** Returned references stay valid until the endpoint is removed by retain(). */
    EndpointCapacity& endpoint(const GroupId& group, const EndpointId& id) { return groupOf(group).endpoint(id); }
    void retain(const GroupId&, const std::vector<EndpointId>&);

    /** Class of a request. A write that waits for a replica's acknowledgement counts as a commit. */
    static StatementClass classOf(const StatementRequest&, bool isInTransaction);
    void noteAnswer(const StatementRequest&, bool isInTransaction, const EndpointId&, Duration latency,
        std::size_t running, TimePoint now);
    /** Records an error that the endpoint answered; only those that are its own fault count. */
    void noteError(const StatementRequest&, bool isInTransaction, const EndpointId&, StatementError, TimePoint now);
    void noteLost(const StatementRequest&, bool isInTransaction, const EndpointId&, TimePoint now);
    /** Records a time-out, unless the statement ran so short that its wait in the queue caused it. */
    void noteTimeout(const StatementRequest&, bool isInTransaction, const EndpointId&, Duration ran, TimePoint now);
    void setRunning(const GroupId& group, const EndpointId& id, std::size_t running)
    {
        groupOf(group).setRunning(id, running);
    }

    /**
     * Selects the endpoint of a read among those whose log position suffices.
     *
     * @see selectReadEndpoint
     */
    std::optional<std::size_t> selectRead(const GroupId&, const std::vector<const EndpointEntry*>&,
        const std::vector<ReadCandidate>&, const LogPosition& minimum, const StatementRequest&, TimePoint now);
    /** Clears hasFreeConnection of the endpoints that selectRead() would not return. */
    void withhold(const GroupId&, const std::vector<const EndpointEntry*>&, std::vector<ReadCandidate>&) const;
    bool mayRead(const GroupId&, const EndpointId&) const;
    /** Ejects and readmits endpoints; serving has those that answer and are not leaving. */
    void evaluate(const GroupId&, const std::vector<EndpointId>& serving, TimePoint now);

    void fillReport(GroupReport&, TimePoint now) override;
    void onReport(const VmId& from, const GroupReport&, TimePoint now) override;

private:
    GroupCapacity& groupOf(const GroupId& group) { return groups_.try_emplace(group, group).first->second; }
    static std::vector<CapacityCandidate> toCandidates(
        const std::vector<const EndpointEntry*>&, const std::vector<ReadCandidate>&);
    void report(const GroupId&, const CapacityChange&, TimePoint now);

    DecisionLog& log_;
    Metrics& metrics_;
    std::map<GroupId, GroupCapacity> groups_;
};

} // namespace almondlever

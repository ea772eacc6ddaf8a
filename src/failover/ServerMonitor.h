#pragma once

#include "almondlever/failover/FailoverCoordinator.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace almondlever {

/** Schedules probes of the servers of one group and stores their last known status. */
class ServerMonitor {
public:
    ServerMonitor(const DatabaseDescription&, const FailoverSettings&, TimePoint now);

    /** Records the status that a server reported; returns false when it is older than the known one. */
    bool onAnswer(const EndpointId&, const EndpointStatus&, TimePoint now);
    /** The server is alive; discards its outstanding probes. */
    void discardOutstanding(const EndpointId&);
    /** The connection was refused or lost: the oldest outstanding probe is a miss. Returns false if there is none. */
    bool onRefused(const EndpointId&);
    /** Removes probes that timed out; returns the servers that missed at least one. */
    std::vector<EndpointId> expire(TimePoint now);
    /** Discards outstanding probes, whose answers are late because this process was paused. */
    void discardAllOutstanding();

    /** Makes a probe due now unless one was sent less than half a probe interval ago. */
    void probeSoon(const EndpointId&, TimePoint now);
    void probeAllSoon(TimePoint now);
    /** Delays the next probe of a server that answered a statement, and discards its outstanding probes. */
    void postponeProbe(const EndpointId&, TimePoint now);
    /** Returns the probes that are due; intervalOf returns the probe interval of an endpoint. */
    template <typename IntervalOf> FailoverActions dueProbes(TimePoint now, IntervalOf intervalOf)
    {
        FailoverActions actions;
        for (auto& [endpoint, server] : servers_) {
            const Duration interval = intervalOf(endpoint);
            if (now < server.lastProbe + interval && !server.isDueNow)
                continue;
            recordProbe(server, now);
            actions.emplace_back(ProbeAction { endpoint });
        }
        return actions;
    }

    /** The last known status of a server; nullptr when it never answered. */
    const EndpointStatus* statusOf(const EndpointId&) const;
    /** True when the server reported its status at or after the given time. */
    bool hasAnsweredSince(const EndpointId&, TimePoint) const;
    std::size_t countAnsweredSince(TimePoint) const;
    /** Number of servers known to have promised a later term than the given one. */
    std::size_t countPromisedBeyond(Term) const;
    bool contains(const EndpointId& endpoint) const { return servers_.count(endpoint) > 0; }

private:
    struct Server {
        std::optional<EndpointStatus> status;
        TimePoint answeredAt = TimePoint::min();
        TimePoint lastProbe = TimePoint::min();
        bool isDueNow = true;
        std::deque<TimePoint> outstanding;
    };

    static void recordProbe(Server&, TimePoint now);

    std::map<EndpointId, Server> servers_;
    const FailoverSettings& settings_;
};

} // namespace almondlever

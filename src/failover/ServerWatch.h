#pragma once

#include "almondlever/failover/FailoverCoordinator.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace almondlever {

/** Schedules probes of the servers of one group and keeps what they reported. */
class ServerWatch {
public:
    ServerWatch(const DatabaseDescription&, const FailoverSettings&, TimePoint now);

    /** Takes a status that the server answered; returns false when it is older than one already known. */
    bool onAnswer(const EndpointId&, const EndpointStatus&, TimePoint now);
    /** The server is alive: forgets outstanding probes. */
    void onAlive(const EndpointId&);
    /** The server's connection was refused or broke; returns true when a probe was outstanding and so missed. */
    bool onRefused(const EndpointId&);
    /** Ends probes that were not answered in time; returns the servers that missed one. */
    std::vector<EndpointId> expire(TimePoint now);
    /** Forgets outstanding probes, after a pause of this process that made answers late. */
    void forgetOutstanding();

    /** Makes a probe due now unless one was sent a moment ago. */
    void probeSoon(const EndpointId&, TimePoint now);
    void probeAllSoon(TimePoint now);
    /** Delays the next probe of a server that answered a statement. */
    void postpone(const EndpointId&, TimePoint now);
    /** Probes that are due; intervalOf gives the time to the next probe of each. */
    template <typename IntervalOf> FailoverActions dueProbes(TimePoint now, IntervalOf intervalOf)
    {
        FailoverActions actions;
        for (auto& [endpoint, server] : servers_) {
            const Duration interval = intervalOf(endpoint);
            if (now < server.lastProbe + interval && !server.isUrgent)
                continue;
            recordProbe(server, now);
            actions.emplace_back(ProbeAction { endpoint });
        }
        return actions;
    }

    /** The last status of a server; null when it never answered. */
    const EndpointStatus* statusOf(const EndpointId&) const;
    /** True when the server answered a probe within the given time. */
    bool hasAnsweredSince(const EndpointId&, TimePoint) const;
    std::size_t countAnsweredSince(TimePoint) const;
    /** Servers that are known to have promised a term later than the given one. */
    std::size_t countPromisedBeyond(Term) const;
    bool contains(const EndpointId& endpoint) const { return servers_.count(endpoint) > 0; }

private:
    struct Server {
        std::optional<EndpointStatus> status;
        TimePoint answeredAt = TimePoint::min();
        TimePoint lastProbe = TimePoint::min();
        bool isUrgent = true;
        std::deque<TimePoint> outstanding;
    };

    static void recordProbe(Server&, TimePoint now);

    std::map<EndpointId, Server> servers_;
    const FailoverSettings& settings_;
};

} // namespace almondlever

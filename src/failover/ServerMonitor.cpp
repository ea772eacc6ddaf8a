#include "ServerMonitor.h"

#include <algorithm>

namespace almondlever {

ServerMonitor::ServerMonitor(const DatabaseDescription& group, const FailoverSettings& settings, TimePoint now)
    : settings_(settings)
{
    for (const EndpointDescription& endpoint : group.endpoints) {
        Server server;
        server.lastProbe = now;
        servers_.emplace(endpoint.id, server);
    }
}

bool ServerMonitor::onAnswer(const EndpointId& endpoint, const EndpointStatus& status, TimePoint now)
{
    Server& server = servers_.at(endpoint);
    server.outstanding.clear();
    server.answeredAt = now;
    if (server.status && status.promisedTerm < server.status->promisedTerm)
        return false;
    server.status = status;
    return true;
}

void ServerMonitor::discardOutstanding(const EndpointId& endpoint) { servers_.at(endpoint).outstanding.clear(); }

bool ServerMonitor::onRefused(const EndpointId& endpoint)
{
    Server& server = servers_.at(endpoint);
    if (server.outstanding.empty())
        return false;
    server.outstanding.pop_front();
    return true;
}

std::vector<EndpointId> ServerMonitor::expire(TimePoint now)
{
    std::vector<EndpointId> missed;
    for (auto& [endpoint, server] : servers_) {
        bool isMissed = false;
        while (!server.outstanding.empty() && now - server.outstanding.front() >= settings_.probeTimeout) {
            server.outstanding.pop_front();
            isMissed = true;
        }
        if (isMissed)
            missed.push_back(endpoint);
    }
    return missed;
}

void ServerMonitor::discardAllOutstanding()
{
    for (auto& [endpoint, server] : servers_)
        server.outstanding.clear();
}

void ServerMonitor::probeSoon(const EndpointId& endpoint, TimePoint now)
{
    Server& server = servers_.at(endpoint);
    // Probes sent in quick succession are likely to be lost together and must not count as two misses.
    if (now - server.lastProbe >= settings_.probeInterval / 2)
        server.isDueNow = true;
}

void ServerMonitor::probeAllSoon(TimePoint now)
{
    for (const auto& [endpoint, server] : servers_)
        probeSoon(endpoint, now);
}

void ServerMonitor::postponeProbe(const EndpointId& endpoint, TimePoint now)
{
    Server& server = servers_.at(endpoint);
    server.outstanding.clear();
    server.lastProbe = now;
}

const EndpointStatus* ServerMonitor::statusOf(const EndpointId& endpoint) const
{
    const auto found = servers_.find(endpoint);
    return found != servers_.end() && found->second.status ? &*found->second.status : nullptr;
}

bool ServerMonitor::hasAnsweredSince(const EndpointId& endpoint, TimePoint since) const
{
    const auto found = servers_.find(endpoint);
    return found != servers_.end() && found->second.status && found->second.answeredAt >= since;
}

std::size_t ServerMonitor::countAnsweredSince(TimePoint since) const
{
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(),
        [&](const auto& entry) { return entry.second.status && entry.second.answeredAt >= since; }));
}

std::size_t ServerMonitor::countPromisedBeyond(Term term) const
{
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(),
        [&](const auto& entry) { return entry.second.status && entry.second.status->promisedTerm > term; }));
}

void ServerMonitor::recordProbe(Server& server, TimePoint now)
{
    server.isDueNow = false;
    server.lastProbe = now;
    server.outstanding.push_back(now);
}

} // namespace almondlever

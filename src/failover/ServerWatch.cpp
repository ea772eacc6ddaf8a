#include "ServerWatch.h"

#include <algorithm>

namespace almondlever {

ServerWatch::ServerWatch(const DatabaseDescription& group, const FailoverSettings& settings, TimePoint now)
    : settings_(settings)
{
    for (const EndpointDescription& endpoint : group.endpoints) {
        Server server;
        server.lastProbe = now;
        servers_.emplace(endpoint.id, server);
    }
}

bool ServerWatch::onAnswer(const EndpointId& endpoint, const EndpointStatus& status, TimePoint now)
{
    Server& server = servers_.at(endpoint);
    server.outstanding.clear();
    server.answeredAt = now;
    if (server.status && status.promisedTerm < server.status->promisedTerm)
        return false;
    server.status = status;
    return true;
}

void ServerWatch::onAlive(const EndpointId& endpoint) { servers_.at(endpoint).outstanding.clear(); }

bool ServerWatch::onRefused(const EndpointId& endpoint)
{
    Server& server = servers_.at(endpoint);
    if (server.outstanding.empty())
        return false;
    server.outstanding.pop_front();
    return true;
}

std::vector<EndpointId> ServerWatch::expire(TimePoint now)
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

void ServerWatch::forgetOutstanding()
{
    for (auto& [endpoint, server] : servers_)
        server.outstanding.clear();
}

void ServerWatch::probeSoon(const EndpointId& endpoint, TimePoint now)
{
    Server& server = servers_.at(endpoint);
    // Two probes sent together would be lost together and must not count as two misses.
    if (now - server.lastProbe >= settings_.probeInterval / 2)
        server.isUrgent = true;
}

void ServerWatch::probeAllSoon(TimePoint now)
{
    for (const auto& [endpoint, server] : servers_)
        probeSoon(endpoint, now);
}

void ServerWatch::postpone(const EndpointId& endpoint, TimePoint now)
{
    Server& server = servers_.at(endpoint);
    server.outstanding.clear();
    server.lastProbe = now;
}

const EndpointStatus* ServerWatch::statusOf(const EndpointId& endpoint) const
{
    const auto found = servers_.find(endpoint);
    return found != servers_.end() && found->second.status ? &*found->second.status : nullptr;
}

bool ServerWatch::hasAnsweredSince(const EndpointId& endpoint, TimePoint since) const
{
    const auto found = servers_.find(endpoint);
    return found != servers_.end() && found->second.status && found->second.answeredAt >= since;
}

std::size_t ServerWatch::countAnsweredSince(TimePoint since) const
{
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(),
        [&](const auto& entry) { return entry.second.status && entry.second.answeredAt >= since; }));
}

std::size_t ServerWatch::countPromisedBeyond(Term term) const
{
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(),
        [&](const auto& entry) { return entry.second.status && entry.second.status->promisedTerm > term; }));
}

void ServerWatch::recordProbe(Server& server, TimePoint now)
{
    server.isUrgent = false;
    server.lastProbe = now;
    server.outstanding.push_back(now);
}

} // namespace almondlever

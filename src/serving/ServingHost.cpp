#include "almondlever/serving/ServingHost.h"

#include <algorithm>
#include <set>

namespace almondlever {

namespace {

    /** True when a configuration change affects the endpoint's queue, pool or group, so that it must be served anew. */
    bool needsRestart(
        const Configuration& before, const Configuration& after, const DatabaseId& databaseId, const EndpointId& id)
    {
        const DatabaseDescription* old = before.findDatabase(databaseId);
        const DatabaseDescription* current = after.findDatabase(databaseId);
        if (!old || !current)
            return true;
        // Includes the other servers of the group, since they confirm writes.
        const auto sameServer = [&](const EndpointDescription& a, const EndpointDescription& b) {
            const bool isSameOwn = a.id != id || (a.slots == b.slots && a.connections == b.connections);
            return a.id == b.id && a.address == b.address && isSameOwn;
        };
        const bool isSameGroup = std::equal(old->endpoints.begin(), old->endpoints.end(), current->endpoints.begin(),
            current->endpoints.end(), sameServer);
        const auto sameRank = [](const RankRule& a, const RankRule& b) {
            return a.name == b.name && a.floor == b.floor && a.deadline == b.deadline
                && a.queueRequests == b.queueRequests && a.queueBytes == b.queueBytes;
        };
        return !isSameGroup
            || !std::equal(before.ranks.begin(), before.ranks.end(), after.ranks.begin(), after.ranks.end(), sameRank);
    }

} // namespace

ServingHost::ServingHost(ServingContext context)
    : context_(std::move(context))
{
}

void ServingHost::setSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    snapshot_ = std::move(snapshot);
    if (!snapshot_->configuration)
        return;
    const Configuration& configuration = *snapshot_->configuration;
    const bool isNewConfiguration = servedConfiguration_ != snapshot_->configuration;
    std::set<EndpointId> wanted;
    for (const DatabaseDescription& database : configuration.databases) {
        for (const EndpointDescription& endpoint : database.endpoints) {
            if (snapshot_->owners->ownerOf(endpoint.id) != snapshot_->self)
                continue;
            wanted.insert(endpoint.id);
            auto& served = endpoints_[endpoint.id];
            const bool isOutdated = served && isNewConfiguration && servedConfiguration_
                && needsRestart(*servedConfiguration_, configuration, database.id, endpoint.id);
            if (isOutdated) {
                served->retire(now);
                retired_.push_back(std::move(served));
            }
            if (!served)
                served = std::make_unique<ServedEndpoint>(context_, snapshot_, database.id, endpoint);
        }
    }
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
        if (wanted.count(entry->first) > 0) {
            entry->second->setSnapshot(snapshot_, now);
            ++entry;
            continue;
        }
        entry->second->retire(now);
        retired_.push_back(std::move(entry->second));
        entry = endpoints_.erase(entry);
    }
    servedConfiguration_ = snapshot_->configuration;
}

void ServingHost::submit(ForwardRequest request, TimePoint now, std::function<void(ForwardReply, TimePoint)> callback)
{
    if (!snapshot_ || !snapshot_->configuration)
        return refuse(request, ForwardErrorCode::NotOwner, "no configuration is in force yet", now, callback);
    ServedEndpoint* endpoint = nullptr;
    if (!request.transaction.isEmpty()) {
        endpoint = findForTransaction(request);
        if (!endpoint)
            return refuse(request, ForwardErrorCode::TransactionLost, "the transaction is not open", now, callback);
    } else {
        const auto found = endpoints_.find(request.endpoint);
        if (found == endpoints_.end())
            return refuse(
                request, ForwardErrorCode::NotOwner, "this daemon does not serve the endpoint", now, callback);
        endpoint = found->second.get();
    }
    if (request.rank >= snapshot_->configuration->ranks.size())
        return refuse(
            request, ForwardErrorCode::NotOwner, "the rank is unknown to this daemon's configuration", now, callback);
    ForwardJob job;
    job.arrival = now;
    job.deadline = now + request.timeLeft;
    job.request = std::move(request);
    job.callback = std::move(callback);
    endpoint->submit(std::move(job), now);
}

ServedEndpoint* ServingHost::findForTransaction(const ForwardRequest& request)
{
    const TransactionId& id = request.transaction;
    for (auto& [unused, endpoint] : endpoints_) {
        if (endpoint->hasTransaction(id))
            return endpoint.get();
    }
    for (auto& endpoint : retired_) {
        if (endpoint->hasTransaction(id))
            return endpoint.get();
    }
    return nullptr;
}

void ServingHost::onTick(TimePoint now)
{
    for (auto& [unused, endpoint] : endpoints_)
        endpoint->onTick(now);
    for (auto& endpoint : retired_)
        endpoint->onTick(now);
    retired_.erase(
        std::remove_if(retired_.begin(), retired_.end(), [](const auto& endpoint) { return endpoint->isDone(); }),
        retired_.end());
}

bool ServingHost::isIdle() const { return endpoints_.empty() && retired_.empty(); }

std::vector<EndpointId> ServingHost::servedEndpoints() const
{
    std::vector<EndpointId> ids;
    for (const auto& [id, unused] : endpoints_)
        ids.push_back(id);
    return ids;
}

void ServingHost::exportMetrics() const
{
    for (const auto& [id, endpoint] : endpoints_) {
        const std::string label = "endpoint=\"" + id.text() + '"';
        context_.metrics.setGauge("almondlever_queued_requests", label, static_cast<double>(endpoint->queuedCount()));
        context_.metrics.setGauge("almondlever_busy_slots", label, static_cast<double>(endpoint->runningCount()));
        context_.metrics.setGauge(
            "almondlever_open_transactions", label, static_cast<double>(endpoint->transactionCount()));
    }
}

void ServingHost::refuse(const ForwardRequest& request, ForwardErrorCode code, const char* detail, TimePoint now,
    const std::function<void(ForwardReply, TimePoint)>& callback) const
{
    ForwardReply reply;
    reply.correlation = request.correlation;
    ForwardError error { code, Outcome::NotRun, detail, {}, {} };
    if (const PrimaryView* primary = snapshot_ ? snapshot_->findPrimary(request.database) : nullptr)
        error.primary = *primary;
    reply.result = std::move(error);
    callback(std::move(reply), now);
}

} // namespace almondlever

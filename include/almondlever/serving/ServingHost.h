#pragma once

#include "almondlever/serving/ServedEndpoint.h"

#include <map>
#include <memory>
#include <vector>

namespace almondlever {

/**
 * The endpoints that this daemon serves. Starts and retires them as the placement says.
 *
 * Runs on the traffic thread.
 */
class ServingHost {
public:
    explicit ServingHost(ServingContext);

    void setSnapshot(SnapshotPtr, TimePoint now);
    /** Takes a forwarded request; the callback is called exactly once. */
    void submit(ForwardRequest, TimePoint now, std::function<void(ForwardReply, TimePoint now)>);
    /** To be called every few milliseconds. */
    void onTick(TimePoint now);

    /** True when nothing is queued, running or open, so that the process may end. */
    bool isIdle() const;
    std::size_t servedCount() const { return endpoints_.size(); }
    std::vector<EndpointId> servedEndpoints() const;
    /** Writes gauges of queues, slots and transactions. */
    void exportMetrics() const;

private:
    void refuse(const ForwardRequest&, ForwardErrorCode, const char* detail, TimePoint now,
        const std::function<void(ForwardReply, TimePoint)>&) const;
    ServedEndpoint* findForTransaction(const ForwardRequest&);

    ServingContext context_;
    SnapshotPtr snapshot_;
    std::shared_ptr<const Configuration> servedConfiguration_;
    std::map<EndpointId, std::unique_ptr<ServedEndpoint>> endpoints_;
    /** Endpoints that moved elsewhere and still finish work. */
    std::vector<std::unique_ptr<ServedEndpoint>> retired_;
};

} // namespace almondlever

#pragma once

#include "almondlever/serving/ServedEndpoint.h"

#include <map>
#include <memory>
#include <vector>

namespace almondlever {

/**
 * Owns the endpoints that this daemon serves, and starts and retires them as the placement changes.
 *
 * Runs on the traffic thread.
 */
class ServingHost {
public:
    explicit ServingHost(ServingContext);

    void setSnapshot(SnapshotPtr, TimePoint now);
    /** Runs a forwarded request; the callback is called exactly once. */
    void submit(ForwardRequest, TimePoint now, std::function<void(ForwardReply, TimePoint now)>);
    /** To be called every few milliseconds. */
    void onTick(TimePoint now);

    /** True when no endpoint is served or still being retired, so that the process may end. */
    bool isIdle() const;
    std::size_t servedCount() const { return endpoints_.size(); }
    std::vector<EndpointId> servedEndpoints() const;
    /** Updates the gauges for queued requests, busy slots and open transactions. */
    void exportMetrics() const;

private:
    void refuse(const ForwardRequest&, ForwardErrorCode, const char* detail, TimePoint now,
        const std::function<void(ForwardReply, TimePoint)>&) const;
    ServedEndpoint* findForTransaction(const ForwardRequest&);

    ServingContext context_;
    SnapshotPtr snapshot_;
    std::shared_ptr<const Configuration> servedConfiguration_;
    std::map<EndpointId, std::unique_ptr<ServedEndpoint>> endpoints_;
    /** Endpoints that are no longer served, or are served anew, and still have running work. */
    std::vector<std::unique_ptr<ServedEndpoint>> retired_;
};

} // namespace almondlever

#pragma once

#include "almondlever/admission/RetryBudget.h"
#include "almondlever/common/TimerService.h"
#include "almondlever/consistency/SessionToken.h"
#include "almondlever/control/Snapshot.h"
#include "almondlever/entry/CallerRequest.h"
#include "almondlever/entry/EndpointTracker.h"
#include "almondlever/entry/Forwarder.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondlever {

/** How a request would be routed or why it would be refused; shown to operators. */
struct RouteExplanation {
    bool isAccepted = false;
    /** Reason for the refusal or for the order of the endpoints. */
    std::string reason;
    std::string rank;
    struct Step {
        EndpointId endpoint;
        VmId owner;
        bool isPrimary = false;
        /** Negative without a recent report. */
        Milliseconds expectedWait { -1 };
    };
    /** Endpoints in the order in which they would be tried. */
    std::vector<Step> steps;
};

/**
 * Routes a caller's request to an endpoint that can serve it: checks it against the configuration, selects endpoints,
 * follows redirects, and retries when that is safe.
 *
 * Makes all routing decisions of an entry daemon. Runs on the traffic thread.
 *
 * @see EndpointTracker for the order of endpoints, RetryBudget for the limit on retries
 */
class EntryRouter final : public CallerRequestHandler {
public:
    EntryRouter(
        Forwarder&, TimerService&, const SessionTokenCodec&, RetryBudget&, Metrics&, DecisionLog&, std::uint64_t seed);
    ~EntryRouter() override;

    void setSnapshot(SnapshotPtr);
    void handle(CallerRequest, TimePoint now, CallerCallback) override;
    RouteExplanation explain(const CallerId&, const DatabaseId&, OperationKind, TimePoint now) const;

    /** Number of requests without a final answer. */
    std::size_t pendingCount() const { return pendingCount_; }

private:
    struct Exchange;
    using ExchangePtr = std::shared_ptr<Exchange>;

    std::optional<CallerError> validate(Exchange&, TimePoint now) const;
    void route(const ExchangePtr&, TimePoint now);
    void routeTransaction(const ExchangePtr&, TimePoint now);
    void routeRead(const ExchangePtr&, TimePoint now);
    void routeWrite(const ExchangePtr&, TimePoint now);
    /** Returns the endpoints that a read must not use: those that refused it, and leaving ones other than the primary.
     */
    std::vector<EndpointId> excludedEndpoints(const Exchange&, const EndpointId& primary) const;
    void forward(const ExchangePtr&, const EndpointId&, const char* reason, TimePoint now);
    void sendTo(const ExchangePtr&, const VmId& owner, const EndpointId&, const char* reason, TimePoint now);
    void onReply(const ExchangePtr&, const EndpointId&, TimePoint sentAt, ForwardReply, TimePoint now);
    void onError(const ExchangePtr&, const EndpointId&, const ForwardError&, TimePoint now);
    void retryLater(const ExchangePtr&);
    bool mayRepeat(const Exchange&, const ForwardError&) const;
    void succeed(const ExchangePtr&, const ForwardSuccess&, TimePoint now);
    void fail(const ExchangePtr&, CallerError, TimePoint now);
    void finish(const ExchangePtr&, CallerReply, TimePoint now);
    EndpointId likelyPrimary(const DatabaseDescription&) const;
    void updateHintedPrimary(const PrimaryView&);
    RequestId makeRequestId(const CallerRequest&);
    void logDecision(
        const Exchange&, const char* event, const EndpointId&, const VmId& owner, const char* reason, TimePoint now);

    Forwarder& forwarder_;
    TimerService& timers_;
    const SessionTokenCodec& tokenCodec_;
    RetryBudget& retryBudget_;
    Metrics& metrics_;
    DecisionLog& decisionLog_;
    std::mt19937_64 random_;
    SnapshotPtr snapshot_;
    EndpointTracker endpointTracker_;
    /** Primaries that owners reported in refusals; used when their term is newer than the snapshot's. */
    std::unordered_map<DatabaseId, PrimaryView> hintedPrimaries_;
    std::size_t pendingCount_ = 0;
};

} // namespace almondlever

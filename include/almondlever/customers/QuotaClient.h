#pragma once

#include "almondlever/customers/CustomerAccess.h"
#include "almondlever/customers/QuotaCoordinator.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/wire/PeerNetwork.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace almondlever {

/**
 * Obtains operations of customers' limits for the sessions of this daemon. It asks one of the customer's coordinators,
 * the next one if that grants too few, and refuses what none of them grants. Operations are requested when they arrive;
 * where they arrive steadily, those expected within grantLifetime are requested with them.
 *
 * @see QuotaCoordinator
 */
class QuotaClient {
public:
    QuotaClient(VmId self, FailureDomainId, QuotaCoordinator& local, DecisionLog&, Metrics&, const QuotaSettings&);

    void setNetwork(PeerNetwork* network) { network_ = network; }
    void setCustomers(std::shared_ptr<const CustomerRegistry>);
    void setCoordinators(std::vector<LiveDaemon>);

    /** As CustomerAccess::requestOperation(). */
    QuotaTicket request(const OperationRequest&, QuotaCallback, TimePoint now);
    void cancel(QuotaTicket);
    void onAnswer(const VmId& from, const QuotaAnswer&, TimePoint now);
    /** The channel to a daemon is lost. */
    void onLoss(const VmId&, TimePoint now);
    /** Turns to another coordinator when one does not answer. */
    void onTick(TimePoint now);

private:
    struct Waiting {
        QuotaTicket ticket = 0;
        OperationRequest request;
        QuotaCallback callback;
        bool isUrgent() const { return request.rank == 0; }
    };
    /** A request that has not been answered. */
    struct OpenRequest {
        std::uint64_t number = 0;
        VmId coordinator;
        TimePoint sentAt;
        std::uint64_t operations = 0;
        /** Operations up to this ticket were waiting when the request was sent. */
        QuotaTicket lastWaiting = 0;
    };
    struct Account {
        std::deque<Waiting> waiting;
        std::optional<OpenRequest> open;
        /** Coordinators that were asked for the waiting operations. */
        std::set<VmId> asked;
        /** Shortest time to wait among the coordinators that were asked; nullopt if none has answered. */
        std::optional<Milliseconds> retryAfter;
        /** Granted operations that nobody waits for. */
        std::uint64_t spare = 0;
        VmId spareFrom;
        TimePoint spareUntil;
        /** Set after a refusal: operations that are not urgent are refused unasked until this time. */
        std::optional<TimePoint> refusedUntil;
        /** Time at which a caller that is refused unasked may return. */
        TimePoint returnAt {};
        /** Smoothed rate of requested operations, per second. */
        double ratePerSecond = 0;
        TimePoint lastRequestAt {};
    };

    static void noteArrival(Account&, TimePoint now);
    /** Sends a request for the waiting operations, or refuses them when no coordinator is left. */
    void ask(const CustomerId&, Account&, TimePoint now);
    std::vector<LiveDaemon> candidatesFor(const CustomerId&, const Account&, TimePoint now) const;
    void onGrant(const CustomerId&, Account&, const QuotaAnswer&, TimePoint now);
    /** Waiting operations up to a ticket, of the most urgent rank or of the others. */
    static std::uint64_t countWaiting(const Account&, QuotaTicket last, bool areUrgent);
    /** Calls back the first waiting operations up to a ticket, of the most urgent rank or of the others. */
    static void grantWaiting(Account&, std::uint64_t granted, QuotaTicket last, bool areUrgent, TimePoint now);
    void closeRequest(Account&);
    void refuseWaiting(Account&, TimePoint now);
    void logRefusal(const OperationRequest&, const QuotaRefusal&, const Account&, TimePoint now);
    void setSilent(const VmId&, TimePoint now);

    VmId self_;
    FailureDomainId failureDomain_;
    QuotaCoordinator& local_;
    DecisionLog& log_;
    Metrics& metrics_;
    QuotaSettings settings_;
    PeerNetwork* network_ = nullptr;
    std::shared_ptr<const CustomerRegistry> customers_;
    std::vector<LiveDaemon> coordinators_;
    std::map<CustomerId, Account> accounts_;
    /** Customers of the requests that have not been answered, by number. */
    std::unordered_map<std::uint64_t, CustomerId> openRequests_;
    /** Coordinators that did not answer, with the time until which they are not asked. */
    std::map<VmId, TimePoint> silentUntil_;
    std::uint64_t lastNumber_ = 0;
    QuotaTicket lastTicket_ = 0;
};

} // namespace almondlever

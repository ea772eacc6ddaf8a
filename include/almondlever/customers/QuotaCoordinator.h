#pragma once

#include "almondlever/customers/QuotaWindow.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/wire/Messages.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace almondlever {

/**
 * Grants operations of the customers whose limits this daemon coordinates. Several coordinators share a customer's
 * limit, so that the loss of one leaves the shares of the others. Decides without I/O.
 *
 * @see QuotaClient, QuotaBucket
 */
class QuotaCoordinator {
public:
    QuotaCoordinator(VmId self, const QuotaSettings&);

    void setCustomers(std::shared_ptr<const CustomerRegistry>, TimePoint now);
    /**
     * Sets the coordinators of the fleet. Unless it is the first call, a daemon that becomes the coordinator of a
     * customer grants nothing for takeOverDelay.
     */
    void setCoordinators(std::vector<LiveDaemon>, TimePoint now);
    /** Buckets start full instead of empty; for the first start of a fleet, before which nothing was granted. */
    void setFirstStart() { isFirstStart_ = true; }
    /** Returns an answer without operations if this daemon does not coordinate the customer. */
    QuotaAnswer onRequest(const VmId& from, const QuotaRequest&, TimePoint now);

private:
    struct Share {
        QuotaBucket bucket;
        QuotaWindow window;
        std::size_t coordinators = 0;
        /** Nothing is granted before this time. */
        TimePoint startsAt;
        /** Nothing is granted ahead before this time: until then, grants of a former coordinator may be held. */
        TimePoint aheadFrom;
    };

    /** Creates and removes shares after a change of the customers or coordinators. */
    void updateShares(bool isTakeOver, TimePoint now);
    Share makeShare(const Customer&, std::size_t coordinators, bool isTakeOver, TimePoint now) const;
    /** Remembers the shares that ended, so that a customer that returns soon is granted nothing twice. */
    void noteEndedShares(const std::map<CustomerId, Share>& former, TimePoint now);
    /** Grants operations for callers that wait, and sets the time to wait if these are too few. */
    static void grant(Share&, const QuotaRequest&, QuotaAnswer&, TimePoint now);
    /** Lets a daemon hold operations while the customer is far below its limit. */
    void grantAhead(Share&, const QuotaWindow::Report&, std::uint64_t wanted, QuotaAnswer&, TimePoint now) const;
    /** Number of coordinators of the customer; 0 if this daemon is none of them. */
    std::size_t countCoordinators(const Customer&) const;

    VmId self_;
    QuotaSettings settings_;
    std::shared_ptr<const CustomerRegistry> customers_;
    std::vector<LiveDaemon> coordinators_;
    std::map<CustomerId, Share> shares_;
    bool isFirstStart_ = false;
    /** Time of the first configuration or view. */
    std::optional<TimePoint> startedAt_;
    /** Customers whose shares ended, with the time until which grants of them may be used or counted. */
    std::map<CustomerId, TimePoint> endedUntil_;
};

} // namespace almondlever

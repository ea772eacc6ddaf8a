#pragma once

#include "almondlever/customers/QuotaBucket.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/wire/Messages.h"

#include <map>
#include <memory>
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
    QuotaAnswer onRequest(const QuotaRequest&, TimePoint now);

private:
    struct Share {
        QuotaBucket bucket;
        /** Nothing is granted before this time. */
        TimePoint startsAt;
    };

    /** Creates and removes shares after a change of the customers or coordinators. */
    void updateShares(bool isTakeOver, TimePoint now);
    /** Number of coordinators of the customer; 0 if this daemon is none of them. */
    std::size_t countCoordinators(const Customer&) const;

    VmId self_;
    QuotaSettings settings_;
    std::shared_ptr<const CustomerRegistry> customers_;
    std::vector<LiveDaemon> coordinators_;
    std::map<CustomerId, Share> shares_;
    bool isFirstStart_ = false;
};

} // namespace almondlever

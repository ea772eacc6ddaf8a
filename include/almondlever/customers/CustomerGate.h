#pragma once

#include "almondlever/customers/CustomerAccess.h"
#include "almondlever/customers/QuotaClient.h"

#include <memory>
#include <optional>

namespace almondlever {

/**
 * Decides which statements of which customers this daemon runs: whether the key is in force, and whether the customer's
 * limit admits the operation.
 *
 * A withdrawn key must not be accepted later than withdrawalLimit after its withdrawal, also by a daemon that is cut
 * off from the store. A statement is sent before it arrives, so it suffices that at its arrival the store provably held
 * the configuration in force at most withdrawalLimit ago. The check needs no repetition when the statement is forwarded
 * or sent.
 */
class CustomerGate final : public CustomerAccess {
public:
    /** @param withdrawalLimit 0 if keys are accepted however old the configuration is */
    CustomerGate(Milliseconds withdrawalLimit, QuotaClient&, DecisionLog&, Metrics&);

    /** Sets the customers of the configuration in force; nullptr if callers need no key. */
    void setCustomers(std::shared_ptr<const CustomerRegistry>);
    /** The store provably held no newer configuration at this time. */
    void confirm(TimePoint provenAt);
    /** True if keys of the configuration in force may be accepted. */
    bool isConfirmed(TimePoint now) const;
    /**
     * Moves callers to other daemons before this one has to refuse them: it counts as unable to serve this long before
     * the withdrawal limit, and ends sessions that it refuses. Zero does neither.
     */
    void setReadinessLead(Milliseconds lead) { readinessLead_ = lead; }
    /** False if keys cannot be accepted, or soon not any more. */
    bool canServe(TimePoint now) const { return isConfirmed(now + readinessLead_); }

    KeyDecision checkKey(const KeyDigest&, TimePoint now) const override;
    void logKeyRefusal(const std::string& statementId, const KeyDecision&, std::size_t rank, TimePoint now) override;
    QuotaTicket requestOperation(const OperationRequest&, QuotaCallback, TimePoint now) override;
    void cancelRequest(QuotaTicket ticket) override { quota_.cancel(ticket); }

private:
    Milliseconds withdrawalLimit_;
    Milliseconds readinessLead_ { 0 };
    QuotaClient& quota_;
    DecisionLog& log_;
    Metrics& metrics_;
    std::shared_ptr<const CustomerRegistry> customers_;
    std::optional<TimePoint> provenAt_;
};

} // namespace almondlever

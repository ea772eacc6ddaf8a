#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"
#include "almondlever/customers/KeyDigest.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace almondlever {

/** Whether statements under a key may run. */
struct KeyDecision {
    enum class Outcome {
        /** The key is in force; no key is needed where the configuration has no customers. */
        Accepted,
        /** No customer of the configuration in force holds the key. */
        UnknownKey,
        /** The key may have been withdrawn: the store did not confirm the configuration recently enough. */
        Unconfirmed,
    };
    Outcome outcome = Outcome::Accepted;
    /** The customer that holds the key; empty where the configuration has no customers. */
    CustomerId customer;
    /** With Unconfirmed: time after which a retry may succeed. */
    Milliseconds retryAfter { 0 };
    /** With Unconfirmed: another daemon may accept the key, so the session should end and the caller connect anew. */
    bool endsSession = false;
};

/** An operation of a session: a statement outside of transactions, or a transaction. */
struct OperationRequest {
    /** The caller's id of the statement that starts it, for logs. */
    std::string statementId;
    CustomerId customer;
    /** Priority; 0 is the most urgent. */
    std::size_t rank = 0;
};

/** Refusal of an operation beyond the customer's limit; it has not run. */
struct QuotaRefusal {
    /** "quota_exceeded" or "quota_unavailable". */
    std::string reason;
    Milliseconds retryAfter { 0 };
};

/** Number of a request for an operation that has not been decided; never 0. */
using QuotaTicket = std::uint64_t;

/** Receives nullopt if the operation may run. */
using QuotaCallback = std::function<void(const std::optional<QuotaRefusal>&, TimePoint now)>;

/** Decides for sessions which statements of a customer may run. */
class CustomerAccess {
public:
    virtual ~CustomerAccess() = default;

    virtual KeyDecision checkKey(const KeyDigest&, TimePoint now) const = 0;
    /** Logs that a statement was refused because of its key. */
    virtual void logKeyRefusal(const std::string& statementId, const KeyDecision&, std::size_t rank, TimePoint now) = 0;
    /**
     * Requests one operation of the customer's limit, which goes first to the most urgent rank. Returns 0 if the
     * callback was called from inside, otherwise the number with which the request can be cancelled.
     */
    virtual QuotaTicket requestOperation(const OperationRequest&, QuotaCallback, TimePoint now) = 0;
    /** The callback of a cancelled request is not called. */
    virtual void cancelRequest(QuotaTicket) = 0;
};

} // namespace almondlever

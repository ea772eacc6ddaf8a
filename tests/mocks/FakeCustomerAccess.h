#pragma once

#include "almondlever/customers/CustomerAccess.h"

#include <map>
#include <string>
#include <vector>

namespace almondlever {

/** Accepts every key until keys are set; grants every operation unless a refusal is set or decisions are deferred. */
class FakeCustomerAccess final : public CustomerAccess {
public:
    struct Deferred {
        QuotaTicket ticket = 0;
        QuotaCallback callback;
    };

    void addKey(const std::string& key, const std::string& customer)
    {
        areKeysNeeded = true;
        keys_[KeyDigest::of(key).prefix()] = CustomerId(customer);
    }
    void removeKey(const std::string& key) { keys_.erase(KeyDigest::of(key).prefix()); }

    KeyDecision checkKey(const KeyDigest& key, TimePoint) const override
    {
        KeyDecision decision;
        if (!areKeysNeeded)
            return decision;
        const auto found = keys_.find(key.prefix());
        if (found == keys_.end())
            decision.outcome = KeyDecision::Outcome::UnknownKey;
        else if (!isConfirmed)
            decision.outcome = KeyDecision::Outcome::Unconfirmed;
        else
            decision.customer = found->second;
        decision.endsSession = endsUnconfirmedSessions && decision.outcome == KeyDecision::Outcome::Unconfirmed;
        return decision;
    }

    void logKeyRefusal(const std::string&, const KeyDecision&, std::size_t, TimePoint) override { }

    QuotaTicket requestOperation(const OperationRequest&, QuotaCallback callback, TimePoint now) override
    {
        ++requests;
        if (isDeferring) {
            deferred.push_back({ requests, std::move(callback) });
            return requests;
        }
        callback(refusal, now);
        return 0;
    }

    void cancelRequest(QuotaTicket ticket) override { cancelled.push_back(ticket); }

    bool areKeysNeeded = false;
    bool isConfirmed = true;
    bool endsUnconfirmedSessions = false;
    bool isDeferring = false;
    std::optional<QuotaRefusal> refusal;
    std::vector<Deferred> deferred;
    std::vector<QuotaTicket> cancelled;
    std::size_t requests = 0;

private:
    std::map<std::uint64_t, CustomerId> keys_;
};

} // namespace almondlever

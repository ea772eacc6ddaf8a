#pragma once

#include "almondlever/front/StepDownRelay.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/wire/PeerNetwork.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace almondlever {

/** Asks the other owners of a group to order its primary to step down, and carries out their requests. */
class PeerStepDownRelay final : public StepDownRelay {
public:
    /**
     * firstNumber is random, so that an answer to a request of an earlier run of this process does not match a request
     * of this run.
     */
    PeerStepDownRelay(StatementDispatcher& dispatcher, VmId self, std::uint64_t firstNumber);

    void setNetwork(PeerNetwork* network) { network_ = network; }
    void setOwners(std::map<GroupId, std::vector<LiveDaemon>> owners) { owners_ = std::move(owners); }

    bool hasPeers(const GroupId&) const override;
    void request(const GroupId&, const EndpointId& primary, Term, Callback, TimePoint now) override;
    /** A request of another owner; `stepDownTerm` is not 0. */
    void onQuery(const VmId& from, const PrimarySuspicion&, TimePoint now);
    /** Returns false if the answer belongs to none of this object's requests. */
    bool onAnswer(const VmId& from, const PrimarySuspicionAnswer&, TimePoint now);

private:
    struct Request {
        std::uint64_t number = 0;
        /** Owners that have not answered. */
        std::set<VmId> awaited;
        bool isNotSupported = false;
        Callback callback;
    };

    std::vector<LiveDaemon> peersOf(const GroupId&) const;

    StatementDispatcher& dispatcher_;
    VmId self_;
    PeerNetwork* network_ = nullptr;
    std::map<GroupId, std::vector<LiveDaemon>> owners_;
    std::map<GroupId, Request> requests_;
    std::uint64_t lastNumber_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace almondlever

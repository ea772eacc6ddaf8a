#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/control/Snapshot.h"
#include "almondlever/entry/Forwarder.h"
#include "almondlever/serving/ServingHost.h"
#include "almondlever/wire/PeerNetwork.h"

#include <map>
#include <unordered_map>

namespace almondlever {

/**
 * Forwards requests to the serving daemon: directly when this daemon serves the endpoint, otherwise over the channel to
 * the other daemon. Matches replies by correlation number, so late and duplicate replies are ignored.
 */
class PeerForwarder final : public Forwarder {
public:
    /**
     * firstNumber is random, so that a reply to a request of an earlier run of this process does not match a request of
     * this run.
     */
    PeerForwarder(PeerNetwork&, ServingHost&, TimerService&, std::uint64_t firstNumber);

    void setSnapshot(SnapshotPtr);
    void forward(const VmId& owner, ForwardRequest, TimePoint deadline, ReplyCallback) override;

    /** Handles a reply from another daemon. */
    void onReply(const VmId& from, ForwardReply, TimePoint now);
    /** Handles a request from another daemon. */
    void onRequest(const PeerIdentity& from, ForwardRequest, TimePoint now);
    /** Ends a request that was dropped before it was sent. */
    void onUnsent(std::uint64_t correlation, TimePoint now);
    /** Ends all requests to a daemon whose channel was lost. */
    void onPeerLost(const VmId&, TimePoint now);
    /** Ends requests that are still unanswered after their deadline and a grace period. */
    void onTick(TimePoint now);

    std::size_t pendingCount() const { return pending_.size(); }

private:
    struct Pending {
        VmId owner;
        ReplyCallback callback;
        std::multimap<TimePoint, std::uint64_t>::iterator expiry;
    };

    void finish(std::uint64_t correlation, ForwardReply, TimePoint now);

    PeerNetwork& network_;
    ServingHost& serving_;
    TimerService& timers_;
    SnapshotPtr snapshot_;
    std::unordered_map<std::uint64_t, Pending> pending_;
    std::multimap<TimePoint, std::uint64_t> expiries_;
    std::uint64_t lastCorrelation_;
};

} // namespace almondlever

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
 * Carries requests to the serving daemon: directly when this daemon serves the endpoint, else over the channel to the
 * other daemon. Matches replies by a number, so a late or repeated reply reaches nobody.
 */
class PeerForwarder final : public Forwarder {
public:
    PeerForwarder(PeerNetwork&, ServingHost&, TimerService&);

    void setSnapshot(SnapshotPtr);
    void forward(const VmId& owner, ForwardRequest, TimePoint deadline, ReplyCallback) override;

    /** A reply from another daemon. */
    void onReply(ForwardReply, TimePoint now);
    /** A request from another daemon. */
    void onRequest(const PeerIdentity& from, ForwardRequest, TimePoint now);
    /** A request was dropped before it was sent. */
    void onUnsent(std::uint64_t correlation, TimePoint now);
    /** The channel to a daemon broke. */
    void onPeerLost(const VmId&, TimePoint now);
    /** Ends requests whose deadline passed. */
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
    std::uint64_t lastCorrelation_ = 0;
};

} // namespace almondlever

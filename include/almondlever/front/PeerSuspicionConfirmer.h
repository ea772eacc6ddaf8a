#pragma once

#include "almondlever/front/SuspicionConfirmer.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/wire/PeerNetwork.h"

#include <map>
#include <optional>
#include <vector>

namespace almondlever {

/**
 * Queries the other owners of a group about a suspected failure of its primary, and answers their queries from the
 * state of this daemon's own connections.
 */
class PeerSuspicionConfirmer final : public SuspicionConfirmer {
public:
    PeerSuspicionConfirmer(
        const StatementDispatcher& dispatcher, VmId self, const FailureConfirmationSettings& settings = {})
        : dispatcher_(dispatcher)
        , self_(std::move(self))
        , settings_(settings)
    {
    }

    void setNetwork(PeerNetwork* network) { network_ = network; }
    void setOwners(std::map<GroupId, std::vector<LiveDaemon>> owners) { owners_ = std::move(owners); }

    FailureConfirmation::Verdict confirm(
        const GroupId&, const EndpointId& primary, TimePoint silentSince, TimePoint now) override;
    void clearSuspicion(const GroupId& group) override { suspicions_.erase(group); }
    void onQuery(const VmId& from, const PrimarySuspicion&, TimePoint now);
    void onAnswer(const VmId& from, const PrimarySuspicionAnswer&, TimePoint now);

private:
    struct Suspicion {
        EndpointId primary;
        std::uint64_t number = 0;
        std::optional<FailureConfirmation> peerQuery;
        std::size_t attempts = 0;
        TimePoint nextQueryAt {};
        /** When other daemons first contradicted the suspicion. */
        std::optional<TimePoint> contradictedSince;
        /** An answer of the primary that another daemon received after this time contradicts the suspicion. */
        TimePoint answeredAfter {};
    };

    void sendQuery(const GroupId&, Suspicion&, TimePoint silentSince, TimePoint now);
    static void logVerdict(const GroupId&, const Suspicion&, FailureConfirmation::Verdict, TimePoint now);

    const StatementDispatcher& dispatcher_;
    VmId self_;
    FailureConfirmationSettings settings_;
    PeerNetwork* network_ = nullptr;
    std::map<GroupId, std::vector<LiveDaemon>> owners_;
    std::map<GroupId, Suspicion> suspicions_;
    std::uint64_t lastQueryNumber_ = 0;
};

} // namespace almondlever

#pragma once

#include "almondlever/front/PrimaryDoubts.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/wire/PeerNetwork.h"

#include <map>
#include <optional>
#include <vector>

namespace almondlever {

/** Asks other owners of a group about its primary, and answers their questions from this daemon's connections. */
class DoubtExchange final : public PrimaryDoubts {
public:
    DoubtExchange(const StatementDispatcher& dispatcher, VmId self, const FailureConfirmationSettings& settings = {})
        : dispatcher_(dispatcher)
        , self_(std::move(self))
        , settings_(settings)
    {
    }

    void setNetwork(PeerNetwork* network) { network_ = network; }
    void setOwners(std::map<GroupId, std::vector<LiveDaemon>> owners) { owners_ = std::move(owners); }

    FailureConfirmation::Verdict judge(
        const GroupId&, const EndpointId& primary, TimePoint doubtedSince, TimePoint now) override;
    void forget(const GroupId& group) override { doubts_.erase(group); }
    void onDoubt(const VmId& from, const PrimaryDoubt&, TimePoint now);
    void onAnswer(const VmId& from, const PrimaryDoubtAnswer&, TimePoint now);

private:
    struct Doubt {
        EndpointId primary;
        std::uint64_t number = 0;
        std::optional<FailureConfirmation> question;
        std::size_t attempts = 0;
        TimePoint notBefore {};
        std::optional<TimePoint> contradictedSince;
        /** What others heard after this contradicts the doubt. */
        TimePoint heardSince {};
    };

    void ask(const GroupId&, Doubt&, TimePoint doubtedSince, TimePoint now);
    static void logVerdict(const GroupId&, const Doubt&, FailureConfirmation::Verdict, TimePoint now);

    const StatementDispatcher& dispatcher_;
    VmId self_;
    FailureConfirmationSettings settings_;
    PeerNetwork* network_ = nullptr;
    std::map<GroupId, std::vector<LiveDaemon>> owners_;
    std::map<GroupId, Doubt> doubts_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace almondlever

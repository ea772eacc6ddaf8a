#pragma once

#include "almondlever/front/StepDownRelay.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/wire/PeerNetwork.h"

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace almondlever {

/** Asks the other daemons to hold a group's writes and to order its primary to step down, and serves their requests. */
class PeerStepDownRelay final : public StepDownRelay {
public:
    /**
     * firstNumber is random, so that an answer to a request of an earlier run of this process does not match a request
     * of this run.
     */
    PeerStepDownRelay(StatementDispatcher& dispatcher, VmId self, std::uint64_t firstNumber);

    void setNetwork(PeerNetwork* network) { network_ = network; }
    /** Sets the owners of the groups that this daemon owns; they are asked first. */
    void setOwners(std::map<GroupId, std::vector<LiveDaemon>> owners) { owners_ = std::move(owners); }
    /** Sets all live daemons; this one may be among them. */
    void setMembers(std::vector<LiveDaemon> members) { members_ = std::move(members); }

    using HoldCallback = std::function<void(const GroupId&, std::uint64_t fence, bool isHeld, TimePoint now)>;
    /**
     * Sets what is called when another daemon asks to hold a group's writes, also repeatedly, and when it says that the
     * change with the fence has ended. Whether the writes are then held is read from the dispatcher.
     */
    void setHoldCallback(HoldCallback callback) { holdCallback_ = std::move(callback); }

    using LeaderCallback = std::function<void(const GroupId&, const EndpointId&, Term, TimePoint now)>;
    /** Sets what is called before a hold ends with an endpoint that was seen to lead. */
    void setLeaderCallback(LeaderCallback callback) { leaderCallback_ = std::move(callback); }

    bool hasPeers(const GroupId&) const override;
    void request(
        const GroupId&, const EndpointId& primary, Term, std::uint64_t fence, Callback, TimePoint now) override;
    bool areAllHolding(const GroupId&, std::uint64_t fence) const override;
    LogPosition acknowledgedPosition(const GroupId&, std::uint64_t fence) const override;
    void close(const GroupId&, std::uint64_t fence, const EndpointId& leader, Term, TimePoint now) override;

    /** A request of another daemon; `stepDownTerm` or `fence` is not 0. */
    void onQuery(const VmId& from, const PrimarySuspicion&, TimePoint now);
    /** Returns false if the answer belongs to none of this object's requests. */
    bool onAnswer(const VmId& from, const PrimarySuspicionAnswer&, TimePoint now);
    /** Sends what did not fit into the former ticks, and repeats what was not answered. */
    void onTick(TimePoint now);

private:
    /** A message to all other daemons. */
    struct Broadcast {
        PrimarySuspicion message;
        std::vector<LiveDaemon> unsent;
        std::set<VmId> asked;
        std::set<VmId> answered;
        TimePoint repeatAt;
        std::size_t repeatsLeft = 0;
    };
    struct Request {
        Broadcast broadcast;
        /** Daemons whose answers the callback waits for. */
        std::set<VmId> awaited;
        std::set<VmId> awaitedOwners;
        bool isNotSupported = false;
        Callback callback;
        TimePoint startedAt;
    };
    /** Daemons that hold the writes of a group. */
    struct Holders {
        std::uint64_t fence = 0;
        std::set<VmId> daemons;
        /** Newest commit that one of them has passed on to a caller. */
        LogPosition acknowledged;
    };
    /** The last order that another daemon relayed for a group. */
    struct Received {
        VmId from;
        std::uint64_t number = 0;
        std::optional<StepDownReport> report;
    };

    /** The owners from which answers are expected first, then the other daemons. */
    std::vector<LiveDaemon> peersOf(const GroupId&) const;
    std::vector<LiveDaemon> ownersToAsk(const GroupId&) const;
    /** Sends the message to the next daemons, as many as the tick admits; returns those that it was sent to. */
    std::vector<VmId> sendNext(Broadcast&, std::size_t atLeast, TimePoint now);
    /** Prepares to send the message again to those that did not answer, and to daemons that are new. */
    void repeat(Broadcast&, const std::set<VmId>& except, TimePoint now);
    void sendRequest(Request&, std::size_t atLeast, TimePoint now);
    /** Calls the callback if no further answer needs to be waited for. */
    void reportIfComplete(const GroupId&, TimePoint now);
    void report(const GroupId&, const StepDownReport&, TimePoint now);

    bool isClosed(const GroupId&, std::uint64_t fence) const;
    void answer(const VmId& to, const PrimarySuspicion&, const std::optional<StepDownReport>&, TimePoint now);
    void orderStepDown(const VmId& from, const PrimarySuspicion&, TimePoint now);

    StatementDispatcher& dispatcher_;
    VmId self_;
    PeerNetwork* network_ = nullptr;
    HoldCallback holdCallback_;
    LeaderCallback leaderCallback_;
    std::map<GroupId, std::vector<LiveDaemon>> owners_;
    std::vector<LiveDaemon> members_;
    std::map<GroupId, Request> requests_;
    std::map<GroupId, Holders> holders_;
    std::map<std::pair<GroupId, std::uint64_t>, Broadcast> closings_;
    std::map<GroupId, Received> received_;
    /** Highest fence of a change that has ended, by group. */
    std::map<GroupId, std::uint64_t> closedFences_;
    std::size_t sendsLeft_;
    std::uint64_t lastNumber_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace almondlever

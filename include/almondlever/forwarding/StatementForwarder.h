#pragma once

#include "almondlever/forwarding/OwnerHealth.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/pooling/StatementRunner.h"
#include "almondlever/wire/PeerNetwork.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace almondlever {

/** Settings of StatementForwarder. */
struct ForwarderSettings {
    FailureDomainId failureDomain;
    /** Start of the statement numbers. Random, so that an answer to an earlier run of this process does not match a
     * statement of this run. */
    std::uint64_t firstNumber = 0;
    OwnerHealthSettings health;
    /** A longer gap between two ticks shows that this process was suspended. */
    Milliseconds stallLimit { 150 };
    /** The owner answers by the deadline; this is the additional time for its answer to arrive. */
    Milliseconds answerGracePeriod { 150 };
    /** Number of owners that a statement is sent to before this daemon runs it itself. */
    std::size_t maximumOwners = 2;
};

/**
 * Runs statements on the owners of their group: on this daemon when it is one, and otherwise on the least loaded owner,
 * preferring those with an open channel, then those of its own failure domain. Unresponsive owners are skipped.
 * Statements that certainly had no effect are repeated on another owner, or run on a connection of this daemon when no
 * owner can be reached.
 *
 * @see ownersOf, ForwardedStatements
 */
class StatementForwarder final : public StatementRunner {
public:
    StatementForwarder(StatementRunner& local, DecisionLog&, Metrics&, const ForwarderSettings&);
    ~StatementForwarder() override;

    Ticket submit(StatementRequest, StatementCallback, TimePoint now) override;
    Ticket submit(const TransactionHandle&, StatementRequest, StatementCallback, TimePoint now) override;
    void abandon(Ticket, TimePoint now) override;
    void endTransaction(const TransactionHandle&, TimePoint now) override;

    /** With nullptr, statements run on this daemon. */
    void setNetwork(PeerNetwork* network) { network_ = network; }
    /** Sets the owners of each group that this daemon does not own. */
    void setOwners(std::map<GroupId, std::vector<LiveDaemon>>);
    void onAnswer(const VmId& owner, SessionAnswer&&, TimePoint now);
    /** The owner answered a probe. */
    void onAlive(const VmId& owner, TimePoint now);
    /** The channel to an owner is lost; its unanswered statements may have run. */
    void onLoss(const VmId& owner, TimePoint now);
    /** The statement was discarded before it was sent. */
    void onUnsent(std::uint64_t correlation, TimePoint now);
    /** Ends statements whose answer is overdue, and probes owners and detects unresponsive ones. */
    void onTick(TimePoint now);

private:
    class RemoteTransaction;
    struct Forwarded {
        StatementRequest request;
        StatementCallback callback;
        LiveDaemon owner;
        std::shared_ptr<RemoteTransaction> transaction;
        std::set<VmId> tried;
    };

    OwnerHealth& healthOf(const VmId&);
    const LiveDaemon* chooseOwner(const GroupId&, const std::set<VmId>& tried, TimePoint now);
    /** True when the left owner is preferred. */
    bool isPreferred(const LiveDaemon& left, const LiveDaemon& right);
    void probeOwner(const VmId&, const std::string& address, TimePoint now);
    void checkOwnerHealth(TimePoint now);
    /** Repeats the owner's unanswered statements elsewhere, unless they may have an effect or belong to a transaction.
     */
    void moveStatements(const VmId&, TimePoint now);
    /** True for a commit and for a write outside a transaction, which must not be repeated once it was sent. */
    static bool mayHaveEffect(const Forwarded&);
    /** Forwards the statement to the next owner, or runs it on this daemon when there is none. */
    void place(Ticket, Forwarded, TimePoint now);
    /** What became of a statement that was to be sent to an owner. */
    enum class SendResult {
        Sent,
        Unreachable,
        /** The owner would refuse the message and close the channel; it was not sent. */
        TooLarge,
    };
    SendResult send(Ticket, const Forwarded&, TimePoint now);
    void runLocally(Ticket, Forwarded, const std::string& reason, TimePoint now);
    Forwarded take(Ticket);
    /** The transaction of an answer: that of its statement, or one that the statement has opened. */
    std::shared_ptr<RemoteTransaction> transactionOf(const Forwarded&, const SessionAnswer&);
    /** Handles a statement that may have run and will not be answered: repeats it if that is safe, or fails it. */
    void fail(Ticket, const std::string& reason, TimePoint now);
    void log(const Forwarded&, std::string_view decision, std::string_view reason, TimePoint now);

    StatementRunner& local_;
    DecisionLog& log_;
    Metrics& metrics_;
    ForwarderSettings settings_;
    PeerNetwork* network_ = nullptr;
    std::map<GroupId, std::vector<LiveDaemon>> owners_;
    std::map<VmId, OwnerHealth> health_;
    /** Peer addresses of all owners in owners_. */
    std::map<VmId, std::string> addresses_;
    std::unordered_map<Ticket, Forwarded> forwarded_;
    /** Transactions that sessions hold, by their owner and the owner's number. */
    std::map<std::pair<VmId, std::uint64_t>, std::weak_ptr<RemoteTransaction>> transactions_;
    /** Tickets of the local runner for statements that this daemon runs because no owner could be reached. */
    std::unordered_map<Ticket, Ticket> localTickets_;
    Ticket lastTicket_;
    std::optional<TimePoint> lastTick_;
};

} // namespace almondlever

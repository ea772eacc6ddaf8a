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

/** Bounds of forwarding. */
struct ForwarderSettings {
    FailureDomainId failureDomain;
    /** A random number, so that the numbers of a former life of this process are never taken for present ones. */
    std::uint64_t firstNumber = 0;
    OwnerHealthSettings health;
    /** A gap between two ticks that shows that this process did not run. */
    Milliseconds stallLimit { 150 };
    /** The owner answers by the deadline; its answer has this much longer to arrive. */
    Milliseconds answerSlack { 150 };
    /** Owners that one statement is offered to before this daemon runs it itself. */
    std::size_t maximumOwners = 2;
};

/**
 * Runs statements on the owners of their group: on this daemon when it is one, else on the least busy owner, near ones
 * first. Owners that are silent get nothing. Repeats elsewhere what certainly left no effect, and runs it on a
 * connection of its own when no owner can be reached.
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

    /** nullptr while there is none; statements then run here. */
    void setNetwork(PeerNetwork* network) { network_ = network; }
    /** The owners of each group that this daemon does not own. */
    void setOwners(std::map<GroupId, std::vector<LiveDaemon>>);
    void onAnswer(const VmId& owner, SessionAnswer&&, TimePoint now);
    /** The owner answered the question whether it is alive. */
    void onAlive(const VmId& owner, TimePoint now);
    /** The channel to an owner is lost; what it runs for this daemon may have run. */
    void onLoss(const VmId& owner, TimePoint now);
    /** The statement was dropped before it was sent. */
    void onUnsent(std::uint64_t correlation, TimePoint now);
    /** Ends statements whose answer is overdue, and finds silent owners. */
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
    /** True when the left owner is to be preferred. */
    bool isBetter(const LiveDaemon& left, const LiveDaemon& right);
    void askOwner(const VmId&, const std::string& address, TimePoint now);
    void findSilentOwners(TimePoint now);
    /** Repeats elsewhere what the owner holds and what leaves no effect. */
    void leaveOwner(const VmId&, TimePoint now);
    /** A commit or a single write, which must not be repeated once it was sent. */
    static bool mayHaveEffect(const Forwarded&);
    /** Forwards to the next owner, or runs the statement here. */
    void place(Ticket, Forwarded, TimePoint now);
    bool send(Ticket, const Forwarded&, TimePoint now);
    void runHere(Ticket, Forwarded, TimePoint now);
    Forwarded take(Ticket);
    /** The statement may have run, and no answer will come. */
    void fail(Ticket, const std::string& reason, TimePoint now);
    void log(const Forwarded&, std::string_view decision, std::string_view reason, TimePoint now);

    StatementRunner& local_;
    DecisionLog& log_;
    Metrics& metrics_;
    ForwarderSettings settings_;
    PeerNetwork* network_ = nullptr;
    std::map<GroupId, std::vector<LiveDaemon>> owners_;
    std::map<VmId, OwnerHealth> health_;
    /** Addresses of all owners that statements may be forwarded to. */
    std::map<VmId, std::string> addresses_;
    std::unordered_map<Ticket, Forwarded> forwarded_;
    /** Tickets of the local runner for statements that came back to this daemon. */
    std::unordered_map<Ticket, Ticket> here_;
    Ticket lastTicket_;
    std::optional<TimePoint> lastTick_;
};

} // namespace almondlever

#pragma once

#include "almondlever/pooling/StatementRunner.h"
#include "almondlever/wire/PeerNetwork.h"

#include <map>
#include <utility>

namespace almondlever {

/**
 * Runs the statements that other daemons forward to this owner, and holds their open transactions. When the channel to
 * a daemon is lost, its statements are abandoned and its transactions rolled back.
 *
 * @see StatementForwarder
 */
class ForwardedStatements {
public:
    /** firstNumber is random, so that transaction numbers of an earlier run of this process are not valid in this run.
     */
    ForwardedStatements(StatementRunner& local, std::uint64_t firstNumber)
        : local_(local)
        , lastTransaction_(firstNumber / 2)
    {
    }

    void setNetwork(PeerNetwork* network) { network_ = network; }
    void onStatement(const VmId& from, SessionStatement&&, TimePoint now);
    void onAbandon(const VmId& from, const SessionAbandon&, TimePoint now);
    void onTransactionEnd(const VmId& from, const SessionTransactionEnd&, TimePoint now);
    /** Answers a probe with OwnerProbeAnswer, which carries the reports. */
    void onProbe(const VmId& from, std::vector<GroupReport> reports = {});
    void onLoss(const VmId& from, TimePoint now);
    std::size_t openTransactions() const { return transactions_.size(); }
    /** True when no statement of another daemon is running or waiting here and no transaction is open. */
    bool isIdle() const { return running_.empty() && transactions_.empty(); }

private:
    /** Sending daemon, and its number for the statement or transaction. */
    using Key = std::pair<VmId, std::uint64_t>;

    /** The statement of a peer that is answered. */
    struct Origin {
        Key key;
        /** Number of the transaction in which it ran; 0 outside of transactions. */
        std::uint64_t transaction = 0;
        /** True if it belongs to a transaction or opens one. */
        bool isInTransaction = false;
        /** True for a commit of writes and for a write outside a transaction. */
        bool mayHaveEffect = false;
    };

    void answer(const Origin&, StatementResult&&, TimePoint now);
    /** Replaces an answer that the peer would refuse, so that the peer need not wait for its time-out. */
    void replaceTooLarge(const Origin&, SessionAnswer&, TransactionHandle&, TimePoint now);

    StatementRunner& local_;
    PeerNetwork* network_ = nullptr;
    std::map<Key, Ticket> running_;
    std::map<Key, TransactionHandle> transactions_;
    std::uint64_t lastTransaction_;
};

} // namespace almondlever

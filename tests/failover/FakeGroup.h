#pragma once

#include "FakeServer.h"
#include "almondlever/consistency/CommitTracker.h"
#include "almondlever/consistency/SessionToken.h"
#include "almondlever/failover/FailoverCoordinator.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondlever::test {

struct GroupOptions {
    std::uint32_t seed = 1;
    Milliseconds latency { 12 };
    Milliseconds jitter { 2 };
    double loss = 0;
    double doubled = 0;
    Milliseconds writeInterval { 10 };
};

/** A fault injected into the next messages of one kind, for example "promote_reply" or "report". */
struct MessageFault {
    enum class Effect { Lose, Delay, Double };
    std::string kind;
    Effect effect = Effect::Lose;
    int count = 1;
    Milliseconds delay { 0 };
};

/** Crashes or pauses a daemon right after its count-th action of a kind, for example "raise_term". */
struct ActionTrigger {
    std::string daemon;
    std::string action;
    int count = 1;
    bool isCrash = true;
};

struct Decision {
    TimePoint at;
    std::string daemon;
    std::string text;
};

/**
 * Simulates a group of three servers s0..s2 and three observing daemons v0..v2 in failure domains d0..d2 in virtual
 * time.
 *
 * Every daemon sends writes. They are served, with a CommitTracker, by the daemon in the primary's failure domain, or
 * by another one when that daemon cannot reach the primary. Membership and claims, which select the serving daemon in
 * production, are assumed to be up to date. Every acknowledgement, promotion and read is checked for violations of the
 * guarantees.
 */
class FakeGroup {
public:
    explicit FakeGroup(const GroupOptions&);

    void runUntil(Milliseconds sinceStart);
    Milliseconds elapsed() const { return std::chrono::duration_cast<Milliseconds>(now_ - start_); }

    /** Partitions nodes (servers, daemons or domains) from others; from all others when the second list is empty. */
    void cut(const std::vector<std::string>& nodes, const std::vector<std::string>& others);
    void heal() { cuts_.clear(); }
    void crash(const std::string& daemon);
    void restart(const std::string& daemon);
    void pause(const std::string& node);
    void resume(const std::string& node);
    void lag(const std::string& server, Milliseconds delay) { lags_[server] = delay; }
    void leave(const std::set<EndpointId>&);
    void setLatency(Milliseconds latency) { options_.latency = latency; }
    void setLoss(double loss) { options_.loss = loss; }
    void addFault(const MessageFault& fault) { faults_.push_back(fault); }
    void addTrigger(const ActionTrigger& trigger) { triggers_.push_back(trigger); }

    const std::vector<std::string>& violations() const { return violations_; }
    const std::vector<Decision>& decisions() const { return decisions_; }
    const std::vector<std::pair<Milliseconds, Term>>& acknowledgements() const { return acknowledgedAt_; }
    std::size_t promotions() const { return primaries_.size(); }
    std::size_t readsChecked() const { return readsChecked_; }
    bool hasPausedWrites() const;
    /** Name of the primary on which all running, unpartitioned daemons agree; empty when they do not. */
    std::string agreedPrimary() const;
    /** Unpartitioned servers that are neither the newest primary nor its followers in its term. */
    std::vector<std::string> strayServers() const;
    TimePoint start() const { return start_; }

private:
    struct PendingWrite {
        std::uint64_t request = 0;
        LogPosition position;
        std::string entry;
        bool isRead = false;
    };
    struct Daemon {
        std::string name;
        std::unique_ptr<FailoverCoordinator> coordinator;
        std::unique_ptr<CommitTracker> tracker;
        int incarnation = 0;
        bool isCrashed = false;
        std::map<ConfirmationId, PendingWrite> pending;
        std::map<std::string, TimePoint> polls;
        int writesInFlight = 0;
        bool isAskingLogEnd = false;
        SessionState session;
        std::string token;
        std::vector<PendingWrite> own;
    };
    struct Cut {
        std::vector<std::string> nodes;
        std::vector<std::string> others;
    };
    struct Waiter {
        LogPosition position;
        Term promised = 0;
        TimePoint deadline;
        std::function<void()> reply;
    };
    struct Acknowledged {
        LogPosition position;
        std::uint64_t request = 0;
    };
    using Reply = std::function<void(const EndpointResult<EndpointStatus>&)>;
    using Operation = std::function<EndpointResult<EndpointStatus>(FakeServer&)>;

    void schedule(Duration delay, std::function<void()> event);
    Duration delayBetween(const std::string& from, const std::string& to);
    bool isLinked(const std::string& from, const std::string& to) const;
    bool isIsolated(const std::string& node) const;
    void send(const std::string& kind, const std::string& from, const std::string& to, std::function<void()> handler);
    void deliver(const std::string& from, const std::string& to, int incarnation, const std::function<void()>& handler);
    int incarnationOf(const std::string& node) const;
    void call(const std::string& kind, Daemon&, const std::string& server, Milliseconds timeout, Operation, Reply);

    void tick(Daemon&);
    void apply(Daemon&, const FailoverActions&);
    std::string carryOut(Daemon&, const FailoverAction&);
    bool applyTriggers(Daemon&, const std::string& action);
    void replicateAll();
    void serverChanged(FakeServer&);

    void startWrite(Daemon& entry);
    void serveWrite(Daemon& owner, const PrimaryView&, std::uint64_t request, const std::string& entry);
    void startRead(Daemon& owner, const PrimaryView&);
    void prepareHandOver(Daemon& owner);
    void poll(Daemon&);
    void finish(Daemon&, const std::vector<Confirmation>&);
    /** Retries an unconfirmed write with the same request id. */
    void repeat(const PendingWrite&);
    void acknowledge(const PendingWrite&);
    void readOwnWrites(Daemon&);
    void checkPromotion(FakeServer&);

    /** The daemon that serves an endpoint. */
    Daemon& ownerOf(const EndpointId&);
    Daemon* findDaemon(const std::string& name);
    FakeServer& serverOf(const std::string& name);
    void makeCoordinator(Daemon&);

    GroupOptions options_;
    DatabaseDescription description_;
    FailoverSettings settings_;
    SessionTokenCodec codec_;
    std::mt19937 random_;
    TimePoint start_;
    TimePoint now_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<FakeServer> servers_;
    std::vector<Daemon> daemons_;
    std::set<EndpointId> leaving_;
    std::vector<Cut> cuts_;
    std::set<std::string> paused_;
    std::map<std::string, std::deque<std::function<void()>>> inboxes_;
    std::map<std::string, Milliseconds> lags_;
    std::vector<MessageFault> faults_;
    std::vector<ActionTrigger> triggers_;
    std::map<std::string, std::vector<Waiter>> waiters_;

    std::map<Term, std::string> primaries_;
    std::map<Term, std::vector<LogEntry>> archives_;
    std::vector<Acknowledged> acknowledged_;
    std::vector<std::pair<Milliseconds, Term>> acknowledgedAt_;
    std::vector<Decision> decisions_;
    std::vector<std::string> violations_;
    std::uint64_t nextRequest_ = 1;
    ConfirmationId nextConfirmation_ = 1;
    std::size_t readsChecked_ = 0;
};

} // namespace almondlever::test

#pragma once

#include "OddText.h"
#include "PromiseChecker.h"

#include <asio.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace almondlever::soak {

class StandinGroup;

/** Faults of one endpoint; tests of the daemons set them while the endpoint runs. */
struct EndpointFaults {
    /** Reads requests and answers nothing. */
    bool isSilent = false;
    /** Receives nothing from the leader. */
    bool isDeaf = false;
    /** Share of the answers that get lost with their connection after the run. */
    double lostAnswers = 0;
    /** Share of the answers that come once more, some time later. */
    double repeats = 0;
    /** Share of the answers that are cut off, with the end of their connection. */
    double cuts = 0;
    /** Share of the orders that get no answer and are carried out seconds late. */
    double lateOrders = 0;
    /** Added to the time that each statement takes. */
    Milliseconds extraWork { 0 };
    /** Time that a replica takes to apply what it received. */
    Milliseconds applyLag { 5 };
};

/** One database server of a group, as the platform's pages describe it. */
class StandinEndpoint {
public:
    StandinEndpoint(StandinGroup& group, EndpointId id);

    /** Starts to listen, for the first time or after a crash; "" or what went wrong. */
    std::string start(std::uint16_t port);
    /** Ends all connections and listens no more; the log stays. */
    void crash();
    bool isUp() const { return isUp_; }
    std::uint16_t port() const { return port_; }
    const EndpointId& id() const { return id_; }
    EndpointFaults& faults() { return faults_; }
    /** Reads of items that begin with the prefix return this many rows of this size as well; call before start(). */
    void setLargeReads(std::string itemPrefix, std::size_t rows, std::size_t rowBytes)
    {
        largeItems_ = std::move(itemPrefix);
        largeRows_.assign(rows, std::string(rowBytes, 'x'));
    }
    const std::vector<LogEntry>& log() const { return log_; }
    /** Takes over the log of an endpoint that this one replaces. */
    void takeLog(const std::vector<LogEntry>& log) { log_ = log; }
    /** Forgets everything, as a server that starts again without its log. */
    void forget();

    /** Carries out PAUSE, RESUME or STEPDOWN. */
    void carryOut(const std::string& order, Term);
    bool isPaused() const { return pausedIn_ != 0; }
    void endPause() { pausedIn_ = 0; }
    /** Makes the log equal to that of the leader. */
    void receive(const std::vector<LogEntry>&, TimePoint now);
    void append(LogEntry entry) { log_.push_back(std::move(entry)); }
    LogPosition received() const { return log_.empty() ? LogPosition {} : log_.back().position; }
    /** Entries of the log that statements see. */
    std::size_t visible(TimePoint now);

private:
    friend class StandinConnection;

    void accept();
    void bind(std::error_code&);

    StandinGroup& group_;
    EndpointId id_;
    asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    bool isUp_ = false;
    EndpointFaults faults_;
    std::string largeItems_;
    std::vector<std::string> largeRows_;
    std::vector<LogEntry> log_;
    /** Sizes that the log had, and when; what was received is visible after the lag. */
    std::deque<std::pair<TimePoint, std::size_t>> growth_;
    std::set<std::shared_ptr<class StandinConnection>> connections_;
    std::size_t applied_ = 0;
    std::size_t running_ = 0;
    Term pausedIn_ = 0;
};

/** A call for a promotion as the platform received it. */
struct PromotionCall {
    EndpointId endpoint;
    std::string holder;
    std::uint64_t fence = 0;
    TimePoint calledAt;
};

/** The servers of one group, their replication, and which of them leads. */
class StandinGroup {
public:
    StandinGroup(asio::io_context&, PromiseChecker&, GroupId, std::uint64_t seed, OddData);

    const GroupId& id() const { return id_; }
    StandinEndpoint& add(const EndpointId&);
    void remove(const EndpointId&);
    /** Ends the server and empties its log; it leads no more. */
    void loseLog(const EndpointId&);
    std::map<EndpointId, std::unique_ptr<StandinEndpoint>>& endpoints() { return endpoints_; }
    StandinEndpoint* find(const EndpointId&);
    bool leads(const StandinEndpoint& endpoint) const { return endpoint.id() == leader_; }
    const EndpointId& leader() const { return leader_; }
    Term term() const { return term_; }
    void setFirstLeader(const EndpointId& id) { leader_ = id; }
    /** The platform's promotion; false when the endpoint does not run. */
    bool promote(const EndpointId&);
    /**
     * Carries out a call: false if a newer fence was accepted or the endpoint does not run. Unless the endpoint leads,
     * it leads the next term once the delay has passed, with the log that it has received by then.
     */
    bool acceptPromotion(const PromotionCall&, Milliseconds effectDelay, TimePoint now);
    /** Runs the task in the first tick() at or after the time. */
    void runAt(TimePoint at, std::function<void()> task) { tasks_.emplace(at, std::move(task)); }
    /** Delays an order as its endpoint's faults say; true if it was delayed and is not to be answered. */
    bool delayOrder(StandinEndpoint&, const std::string& order, Term);
    /** Times in reports count from the first one; no order is carried out after the second because of a delay. */
    void setTimes(TimePoint startedAt, TimePoint delaysUntil)
    {
        startedAt_ = startedAt;
        delaysUntil_ = delaysUntil;
    }
    /** Told of orders and promotions that take effect after a delay. */
    void setObserver(std::function<void(const std::string&)> observer) { observer_ = std::move(observer); }
    /** The order to step down: without a leader, commits that wait are never acknowledged. */
    void stepDown(const StandinEndpoint&, Term);

    /** Puts a commit into the leader's log; the callback comes once a replica has received it. */
    void commit(std::vector<std::string> tokens, std::function<void()> onAcknowledged);
    /** Replicates and acknowledges. Call every few milliseconds. */
    void tick(TimePoint now);

    asio::io_context& context() { return context_; }
    PromiseChecker& checker() { return checker_; }
    std::mt19937_64& random() { return random_; }
    OddText& oddText() { return oddText_; }
    /** Draws for answers that are repeated or cut off, apart from random(). */
    bool drawWireFault(double share) { return std::uniform_real_distribution<double>(0, 1)(wireRandom_) < share; }
    std::size_t drawWireNumber(std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(0, most)(wireRandom_);
    }
    void noteAccepted() { ++accepted_; }
    void noteRepeat() { ++repeated_; }
    std::size_t accepted() const { return accepted_; }
    std::size_t repeated() const { return repeated_; }
    /** When a call or an order without an answer is carried out; nullopt if it would be after the delays. */
    std::optional<TimePoint> drawLateTime(TimePoint now, Milliseconds shortest = shortestDelay);
    bool drawDelay(double share) { return std::uniform_real_distribution<double>(0, 1)(delayRandom_) < share; }
    /** A number that no connection, transaction or run of any group has. */
    static std::uint64_t nextNumber();

    static constexpr Milliseconds shortestDelay { 2000 };

private:
    struct Waiting {
        Term term = 0;
        std::size_t size = 0;
        std::function<void()> onAcknowledged;
    };

    void lead(StandinEndpoint&);

    asio::io_context& context_;
    PromiseChecker& checker_;
    GroupId id_;
    std::mt19937_64 random_;
    std::mt19937_64 wireRandom_;
    OddText oddText_;
    std::size_t accepted_ = 0;
    std::size_t repeated_ = 0;
    std::map<EndpointId, std::unique_ptr<StandinEndpoint>> endpoints_;
    EndpointId leader_;
    Term term_ = 1;
    std::deque<Waiting> waiting_;
    std::multimap<TimePoint, std::function<void()>> tasks_;
    TimePoint startedAt_ {};
    TimePoint delaysUntil_ {};
    std::uint64_t acceptedFence_ = 0;
    std::function<void(const std::string&)> observer_ = [](const std::string&) {};
    /** Draws delays only. */
    std::mt19937_64 delayRandom_;
};

} // namespace almondlever::soak

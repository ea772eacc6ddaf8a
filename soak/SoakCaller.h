#pragma once

#include "OddText.h"
#include "PromiseChecker.h"
#include "WireStream.h"

#include <functional>
#include <random>

namespace almondlever::soak {

/** A database that callers use, as the configuration routes it. */
struct SoakRoute {
    std::string database;
    GroupId group;
    ReadRule rule = ReadRule::Primary;
    Milliseconds maximumStaleness { 0 };
};

/** How callers behave. */
struct SoakHabits {
    OddData oddData = OddData::None;
    /** Longest time between two operations. */
    Milliseconds longestPause { 40 };
    /** Share of the steps of transactions at which a caller leaves instead. */
    double leaveShare = 0;
};

/** Counts of all callers. */
struct SoakCounts {
    std::size_t attempts = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t inDoubt = 0;
};

/**
 * One caller: opens a session with some daemon, keeps it, sets values and prepares statements under names that collide
 * with those of others, and runs single statements and transactions one after the other.
 */
class SoakCaller : public std::enable_shared_from_this<SoakCaller> {
public:
    /** Port of the daemon to use next. */
    using DaemonChoice = std::function<std::uint16_t(std::mt19937_64&)>;
    using ServedObserver = std::function<void(std::uint16_t daemon, const GroupId&, bool isWrite)>;

    SoakCaller(asio::io_context&, PromiseChecker&, SoakCounts&, std::string name, SoakRoute, const SoakHabits&,
        std::uint64_t seed, DaemonChoice, ServedObserver);

    void start() { connect(); }
    /** Ends the session; what is under way stays in doubt. */
    void stop();

private:
    struct Step {
        enum class Kind { Set, Prepare, Begin, Read, Write, Commit, Rollback };
        Kind kind = Kind::Read;
        std::string text;
        /** What the endpoint must run. */
        std::string runs;
        std::optional<PreparedShape> prepared;
        /** Data of a write, which are unique, or a value. */
        std::string token;
        /** Name of a value or of a prepared statement. */
        std::string name;
    };
    struct Prepared {
        std::string name;
        PreparedShape shape;
    };

    void connect();
    void onMessage(std::string_view message);
    /** Reports a message that answers nothing, and ends the session. */
    void rejectMessage(std::string_view message);
    void onClosed();
    void closeSession();
    void leave();
    void nextOperation();
    std::string nextId() { return odd_.changeWord(name_ + 'q' + std::to_string(++number_)); }
    void sendStep();
    void onAnswer();
    void endAttempt(AttemptOutcome);
    void pause(Milliseconds);
    std::string sessionName() const { return name_ + '/' + std::to_string(session_); }
    bool draw(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
    Step makeData(bool mayWrite);
    Step makeSet();
    Step makePrepare();

    asio::io_context& context_;
    PromiseChecker& checker_;
    SoakCounts& counts_;
    std::string name_;
    SoakRoute route_;
    SoakHabits habits_;
    std::mt19937_64 random_;
    OddText odd_;
    /** Draws leaving only. */
    std::mt19937_64 leaveRandom_;
    DaemonChoice choose_;
    ServedObserver onServed_;
    asio::steady_timer timer_;
    std::shared_ptr<WireStream> stream_;
    std::uint16_t daemon_ = 0;
    bool isOpen_ = false;
    bool isStopped_ = false;
    std::uint64_t session_ = 0;
    std::uint64_t number_ = 0;
    std::map<std::string, std::string> values_;
    /** One name for each mode. */
    std::map<bool, Prepared> prepared_;
    std::vector<Step> steps_;
    std::size_t step_ = 0;
    std::uint64_t transaction_ = 0;
    TimePoint since_;
    std::vector<std::string> tokens_;
    /** The effect was asked for, so that a missing answer leaves doubt. */
    bool hasAsked_ = false;
    bool isRunning_ = false;
    bool isRollingBack_ = false;
    std::string id_;
    std::vector<std::string> rows_;
    std::string signature_;
    std::string error_;
};

} // namespace almondlever::soak

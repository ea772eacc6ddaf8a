#pragma once

#include "DaemonProcess.h"
#include "GroupFaults.h"
#include "LoopbackProxy.h"
#include "SoakCaller.h"
#include "StandinGroup.h"
#include "StandinStore.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almondlever::soak {

struct SoakSettings {
    std::string program;
    /** An older build of the daemon, which every second daemon runs until it is restarted; empty for none. */
    std::string formerProgram;
    /** Folder for settings files and logs of the daemons; must exist. */
    std::string folder;
    std::uint64_t seed = 1;
    std::size_t daemons = 3;
    std::size_t groups = 2;
    /** Of each group. */
    std::size_t servers = 3;
    std::size_t callers = 24;
    SoakHabits habits;
    /** Share of the answers that endpoints repeat, or cut off, while they have this fault. */
    double repeats = 0;
    double cuts = 0;
    /** Time in which faults are injected. */
    Milliseconds faultTime { 15000 };
    /** Routes that no caller uses, to make the configuration large. */
    std::size_t unusedRoutes = 0;
    /** Injects the plan of drawGroupFaults() instead of the other faults. */
    bool hasGroupFaults = false;
    /** Injects the plan of drawLateCalls() instead, with promotions as the platform carries them out. */
    bool hasLateCalls = false;
    /** Times that the store comes back from a copy, spread over the faults. */
    std::size_t storeRestores = 0;
    /** Mean time between two faults; they last longer and overlap. */
    Milliseconds faultInterval { 500 };
    /** Time after the last fault in which every daemon must serve every group again. */
    Milliseconds recoverTime { 12000 };
};

/** What a run found. */
struct SoakResult {
    std::vector<std::string> violations;
    std::size_t attempts = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t inDoubt = 0;
    std::size_t acknowledgedWrites = 0;
    std::size_t faults = 0;
    std::size_t promotions = 0;
    std::size_t storeCalls = 0;
    /** Connections that endpoints accepted, and answers that they sent once more. */
    std::size_t connections = 0;
    std::size_t repeated = 0;
    /** Times during the faults in which no write to a group succeeded; the sum is that of all groups. */
    Milliseconds longestGap { 0 };
    Milliseconds summedGaps { 0 };
    /** Commits that endpoints acknowledged and promotions rolled back before any caller heard of it. */
    std::size_t rolledBackUnheard = 0;
};

/**
 * One seeded run: real daemons as child processes against stand-in endpoints, store and promotion service of this
 * process, behind loopback proxies; faults that overlap; callers whose history is checked while it grows.
 */
class SoakRun {
public:
    explicit SoakRun(const SoakSettings&);
    ~SoakRun();
    SoakRun(const SoakRun&) = delete;
    SoakRun& operator=(const SoakRun&) = delete;

    SoakResult run();

private:
    /** Time without faults at the start. */
    static constexpr Milliseconds startTime { 2500 };
    /** An entry without news for three heartbeats is removed. */
    static constexpr Milliseconds entryLife { 1800 };
    struct Daemon {
        std::string name;
        std::unique_ptr<DaemonProcess> process;
        LoopbackProxy front;
        LoopbackProxy store;
        std::uint16_t frontPort = 0;
        /** When it is started again, if it is down. */
        std::optional<TimePoint> startAt;
        TimePoint startedAt {};
        bool wasKilled = false;
        bool isStopping = false;
        bool isPaused = false;

        explicit Daemon(asio::io_context& context)
            : front(context)
            , store(context)
        {
        }
    };
    struct Endpoint {
        StandinGroup* group = nullptr;
        EndpointId id;
        std::unique_ptr<LoopbackProxy> proxy;
        std::uint64_t sequence = 0;
        std::int64_t born = 0;
        bool isLeaving = false;
        TimePoint silentSince;
        bool isListed = false;
        bool saidPrimary = false;
        /** It does not reach the store before. */
        TimePoint mutedUntil {};
    };
    /** A fault that comes after the next takeover. */
    struct Armed {
        GroupFault fault;
        Term term = 0;
        TimePoint until;
        bool isDue = false;
    };
    struct Repair {
        TimePoint at;
        std::function<void()> mend;
    };

    void require(const std::string& fault, const std::string& what);
    void startPlatform();
    void startDaemons();
    void startCallers();
    void addEndpoint(StandinGroup&, const std::string& name, const std::vector<LogEntry>& log);
    void writeConfiguration();
    void writeEntry(Endpoint&);
    void handlePromotion(const std::shared_ptr<HttpExchange>&);
    void prepareLateCalls();
    void handleLateCall(const std::shared_ptr<HttpExchange>&, std::size_t group, PromotionCall);
    void applyLateFault(const GroupFault&, TimePoint now);
    void partPrimary(const StandinEndpoint&, const GroupFault&, TimePoint until);
    void suspendDaemon(Daemon&, TimePoint until);
    std::vector<std::size_t> daemonsOf(const GroupFault&) const;
    /** A write to the group succeeded. */
    void noteWrite(std::size_t group, TimePoint now);
    std::size_t indexOf(const GroupId&) const;
    bool applyPromotion(const std::string& group, const std::string& id, std::uint64_t fence);
    void tick();
    void tickEndpoints(TimePoint now);
    void tickDaemons(TimePoint now);
    void injectFault(TimePoint now);
    void harmDaemon(TimePoint now);
    void harmEndpoint(TimePoint now);
    /** The store comes back from a copy; operator and endpoints write again what it lacks. */
    void restoreStore(TimePoint now);
    void drawRestores();
    void harmWire(TimePoint now);
    void harmPlatform(TimePoint now);
    void replacePrimary(TimePoint now);
    void drawPlan();
    void tickGroupFaults(TimePoint now);
    /** All servers of the group run, replicate and are listed, and all daemons run. */
    bool isCalm(StandinGroup&, TimePoint now);
    void applyFault(const GroupFault&, TimePoint now);
    void deafenReplicas(StandinGroup&, const GroupFault&, TimePoint now);
    void crashServer(StandinGroup&, StandinEndpoint&, TimePoint until);
    void darkenServer(StandinGroup&, StandinEndpoint&, TimePoint until);
    void restartDaemon(Daemon&, bool isGraceful, TimePoint startAt);
    void loseLog(StandinGroup&, const GroupFault&, TimePoint now);
    void replaceServer(StandinGroup&, const EndpointId&, Milliseconds wait);
    /** The server receives nothing until it could have copied the log. */
    void catchUpLater(StandinGroup&, StandinEndpoint&);
    StandinEndpoint* chooseReplica(StandinGroup&, std::size_t choice, bool mustReceive);
    static bool hasOtherReceiver(StandinGroup&, const StandinEndpoint&);
    /** Every acknowledged commit is in the log of some other server. */
    bool isHeldElsewhere(StandinGroup&, const EndpointId&) const;
    Endpoint* entryOf(const EndpointId&);
    static std::int64_t bornNow();
    void repairLater(TimePoint at, std::function<void()>);
    void healAll();
    bool hasRecovered() const;
    void stopDaemons();
    /** Reports bad exit statuses; returns false if daemons still run at the limit. */
    bool waitForEnds(Milliseconds limit);
    void log(const std::string& line);
    Milliseconds drawTime(int least, int most);
    std::size_t drawIndex(std::size_t size);

    SoakSettings settings_;
    std::mt19937_64 random_;
    asio::io_context context_ { 1 };
    asio::steady_timer timer_;
    asio::signal_set signals_;
    PromiseChecker checker_;
    SoakCounts counts_;
    StandinStore store_;
    std::uint16_t storePort_ = 0;
    std::unique_ptr<HttpServer> promotions_;
    std::uint16_t promotionPort_ = 0;
    double latePromotions_ = 0;
    std::map<std::string, std::uint64_t> fences_;
    std::vector<std::unique_ptr<StandinGroup>> groups_;
    std::vector<Endpoint> endpoints_;
    /** Kept because repairs may still refer to them. */
    std::vector<std::unique_ptr<LoopbackProxy>> retiredProxies_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<std::shared_ptr<SoakCaller>> callers_;
    std::vector<SoakRoute> routes_;
    std::vector<Repair> repairs_;
    std::uint64_t version_ = 0;
    /** The newest configuration as the operator wrote it. */
    std::string configuration_;
    /** When the store comes back from a copy, the next one first. */
    std::deque<TimePoint> restoresAt_;
    /** Draws restores only, so that a seed keeps its other faults. */
    std::mt19937_64 restoreRandom_;
    /** Draws repeats and cuts only. */
    std::mt19937_64 wireRandom_;
    TimePoint nextWireFault_;
    std::size_t extraRoutes_ = 0;
    std::size_t replaced_ = 0;
    TimePoint startedAt_;
    TimePoint faultsUntil_;
    TimePoint nextFault_;
    /** Group faults that are still to come, the next one first. */
    std::deque<GroupFault> plan_;
    std::vector<Armed> armed_;
    /** For each group. */
    std::vector<TimePoint> calmSince_;
    std::set<EndpointId> darkened_;
    /** Primaries that reach no replica. */
    std::set<EndpointId> isolated_;
    /** Of each group: the newest call, the time until which calls are late, and the newest write that succeeded. */
    std::vector<PromotionCall> lastCalls_;
    std::vector<std::shared_ptr<HttpExchange>> unanswered_;
    std::vector<TimePoint> callsDelayedUntil_;
    std::vector<Milliseconds> callDelays_;
    std::vector<TimePoint> lastWrites_;
    /** Groups that have lost a log for good. */
    std::set<GroupId> hasLost_;
    /** Entries also lapse while the store is away. */
    bool entriesLapse_ = false;
    bool isHealed_ = false;
    /** Daemon and group pairs that were served since the end of the faults. */
    std::set<std::string> served_;
    SoakResult result_;
};

} // namespace almondlever::soak

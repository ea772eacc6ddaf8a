#pragma once

#include "FakeEndpoints.h"
#include "FakeMetadataStore.h"
#include "almondlever/front/PromotionDriver.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/sessions/SessionContents.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondlever {

/**
 * One daemon and one group of endpoints a, b and c with one synchronous replica, in virtual time. The daemon can be
 * restarted without its memory; the endpoints, their entries and the store remain.
 */
class PromotionFixture {
public:
    const GroupId group { "ledger" };
    const EndpointId a { "a" };
    const EndpointId b { "b" };
    const EndpointId c { "c" };
    /** Time after which the platform removes the entry of a silent endpoint: three heartbeat intervals. */
    static constexpr Milliseconds entryLifetime { 3600 };
    /** Time after which the daemon no longer lists a silent endpoint. */
    static constexpr Milliseconds removalTime = entryLifetime + EndpointDirectory::lapseGrace;

    PromotionFixture()
        : endpoints(timers)
        , store(timers)
        , promotions(*this)
        , log_(0)
    {
        groups_[group] = { group, 40, 1 };
        endpoints.server(a).leads = true;
        for (const EndpointId& id : { a, b, c })
            list(id);
        restartDaemon();
    }

    /** Starts the daemon, in place of a running one, with the entries that the store lists now. */
    void restartDaemon()
    {
        daemon_.reset();
        daemon_ = std::make_unique<Daemon>(*this);
        daemon_->driver.setStepDownRelay(relay_);
        for (const auto& [id, entry] : entries_)
            daemon_->directory.update(entry, timers.now());
        daemon_->dispatcher.setGroups(groups_, timers.now());
        daemon_->dispatcher.onDirectoryChange(timers.now());
        daemon_->driver.setGroups(groups_);
        daemon_->driver.setOwners({ { group, { "vm-1" } } });
    }

    PromotionDriver& driver() { return daemon_->driver; }
    void setRelay(StepDownRelay* relay)
    {
        relay_ = relay;
        driver().setStepDownRelay(relay);
    }

    /** Lists an endpoint, or writes its entry again with the role that it has. */
    void list(const EndpointId& id) { listAs(id, endpoints.server(id).leads); }
    void listAs(const EndpointId& id, bool reportsPrimary)
    {
        EndpointEntry& entry = entries_[id];
        entry.id = id;
        entry.group = group;
        entry.address = "10.0.0.1:1";
        entry.reportsPrimary = reportsPrimary;
        entry.isLeaving = leaving_.count(id) > 0;
        entry.startedAt = Milliseconds(1 + restarts_[id]);
        entry.revision = ++revision_;
        lapsesAt_.erase(id);
        if (!daemon_)
            return;
        daemon_->directory.update(entry, timers.now());
        daemon_->dispatcher.onDirectoryChange(timers.now());
    }

    /** The endpoint announces that it will exit. */
    void announceExit(const EndpointId& id)
    {
        leaving_.insert(id);
        list(id);
    }
    /** No daemon reaches the endpoint, and its entry lapses. */
    void makeUnreachable(const EndpointId& id)
    {
        endpoints.server(id).isSilent = true;
        lapsesAt_[id] = timers.now() + entryLifetime;
    }
    /** The process ends, and its entry lapses; its log is kept. */
    void crash(const EndpointId& id)
    {
        endpoints.crash(id);
        lapsesAt_[id] = timers.now() + entryLifetime;
    }
    /** An endpoint that was unreachable or had crashed is back with its log. */
    void bringBack(const EndpointId& id)
    {
        endpoints.server(id).isSilent = false;
        endpoints.server(id).isDown = false;
        list(id);
    }
    /** The endpoint starts anew under its id, as a replica with an empty log. */
    void restartEmpty(const EndpointId& id)
    {
        endpoints.crash(id);
        endpoints.server(id).isDown = false;
        endpoints.server(id).position = {};
        endpoints.server(id).reportsPosition = false;
        ++restarts_[id];
        list(id);
    }

    /** These endpoints hold the log up to this position, which is acknowledged to callers of other daemons. */
    void acknowledge(const LogPosition& position, const std::vector<EndpointId>& holders)
    {
        for (const EndpointId& id : holders)
            endpoints.server(id).position = position;
        acknowledged = std::max(acknowledged, position);
    }

    void run(Duration by)
    {
        const TimePoint end = timers.now() + by;
        while (timers.now() < end) {
            timers.advance(std::min<Duration>(StatementDispatcher::tickInterval, end - timers.now()));
            updateEntries();
            daemon_->dispatcher.onTick(timers.now());
            daemon_->driver.onTick(timers.now());
        }
    }
    /** Runs until the condition holds; returns false if it does not within the time. */
    template <typename Condition> bool runUntil(Duration limit, const Condition& condition)
    {
        const TimePoint end = timers.now() + limit;
        while (!condition() && timers.now() < end)
            run(StatementDispatcher::tickInterval);
        return condition();
    }

    /** Gauge of the logs that a change of the primary lacks. */
    double missingLogs() const
    {
        const std::string text = metrics_.toPrometheusText();
        const std::string name = "almondlever_group_missing_logs{group=\"ledger\"} ";
        const auto at = text.find(name);
        return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size()));
    }

    bool areWritesHeld() const { return daemon_->dispatcher.areWritesHeld(group); }
    bool leads(const EndpointId& id) { return endpoints.server(id).leads && !endpoints.server(id).isDown; }

    /** True if a caller's write is acknowledged within a second. */
    bool write()
    {
        StatementRequest request;
        request.statement.kind = StatementKind::Write;
        request.statement.id = "w" + std::to_string(++writes_);
        request.statement.text = "WRITE x 1";
        request.group = group;
        request.arrival = timers.now();
        request.deadline = timers.now() + Milliseconds(1000);
        request.isWrite = true;
        request.needsPrimary = true;
        request.contents = std::make_shared<const SessionContents>();
        const auto result = std::make_shared<std::optional<StatementError>>();
        const auto isDone = std::make_shared<bool>(false);
        daemon_->dispatcher.submit(
            request,
            [result, isDone](StatementResult&& answer, TimePoint) {
                *result = answer.reply.error;
                *isDone = true;
            },
            timers.now());
        return runUntil(Milliseconds(1100), [&] { return *isDone; }) && !*result;
    }

    /**
     * The platform's promotion service: an endpoint leads the next term some time after the call. A call whose fencing
     * token is lower than the highest accepted one is refused when it is carried out.
     */
    class Promotions final : public PromotionService {
    public:
        struct Call {
            EndpointId endpoint;
            std::uint64_t fence = 0;
        };

        explicit Promotions(PromotionFixture& fixture)
            : fixture_(fixture)
        {
        }

        void promote(const GroupId&, const EndpointId& endpoint, const std::string&, std::uint64_t fence,
            std::function<void(PromotionResult, const std::string&)> callback) override
        {
            calls.push_back({ endpoint, fence });
            if (unansweredCalls > 0) {
                --unansweredCalls;
                fixture_.timers.callAfter(
                    callTimeout, [callback](TimePoint) { callback(PromotionResult::Unknown, "timed out"); });
                fixture_.timers.callAfter(lateBy, [this, endpoint, fence](TimePoint) { carryOut(endpoint, fence); });
                return;
            }
            const bool isAccepted = carryOut(endpoint, fence);
            fixture_.timers.callAfter(answerTime, [callback, isAccepted](TimePoint) {
                callback(isAccepted ? PromotionResult::Accepted : PromotionResult::Refused, "");
            });
        }

        /** Time from an answered call to its answer. */
        static constexpr Milliseconds answerTime { 10 };
        /** Time after which a call without an answer is given up. */
        static constexpr Milliseconds callTimeout { 500 };
        /** Time from an accepted call to its effect. */
        Milliseconds effectTime { 300 };
        /** Number of the next calls that get no answer and are carried out late. */
        std::size_t unansweredCalls = 0;
        Milliseconds lateBy { 4000 };
        std::vector<Call> calls;
        /** Endpoints that became the primary, in order. */
        std::vector<EndpointId> promoted;
        /** Those of them whose log lacked an acknowledged commit. */
        std::vector<EndpointId> incomplete;

    private:
        bool carryOut(const EndpointId& endpoint, std::uint64_t fence)
        {
            if (fence < newestFence_ || fixture_.endpoints.server(endpoint).isDown)
                return false;
            newestFence_ = fence;
            fixture_.timers.callAfter(effectTime, [this, endpoint](TimePoint) { takeEffect(endpoint); });
            return true;
        }

        void takeEffect(const EndpointId& endpoint)
        {
            FakeEndpoints::Server& server = fixture_.endpoints.server(endpoint);
            if (server.isDown || server.leads)
                return;
            promoted.push_back(endpoint);
            if (server.position < fixture_.acknowledged)
                incomplete.push_back(endpoint);
            for (const auto& [id, restarts] : fixture_.restarts_) {
                fixture_.endpoints.server(id).leads = id == endpoint;
                term_ = std::max(term_, fixture_.endpoints.server(id).position.term);
            }
            server.position.term = ++term_;
            server.pausedIn = 0;
        }

        PromotionFixture& fixture_;
        std::uint64_t newestFence_ = 0;
        Term term_ = 0;
    };

    FakeTimerService timers;
    FakeEndpoints endpoints;
    FakeMetadataStore store;
    Promotions promotions;
    LogPosition acknowledged { 1, 100 };

private:
    struct Daemon {
        explicit Daemon(PromotionFixture& fixture)
            : dispatcher(directory, fixture.endpoints, fixture.log_, fixture.metrics_, {})
            , driver(directory, dispatcher, fixture.store, fixture.promotions, fixture.timers, makeSettings())
        {
        }

        static PromotionDriverSettings makeSettings()
        {
            PromotionDriverSettings settings;
            settings.holder = "vm-1";
            return settings;
        }

        EndpointDirectory directory;
        StatementDispatcher dispatcher;
        PromotionDriver driver;
    };

    /** Endpoints that are reached report a change of role at once; entries of the others lapse. */
    void updateEntries()
    {
        for (const auto& [id, restarts] : restarts_) {
            const auto entry = entries_.find(id);
            if (entry == entries_.end())
                continue;
            const auto lapse = lapsesAt_.find(id);
            const FakeEndpoints::Server& server = endpoints.server(id);
            if (lapse == lapsesAt_.end() && !server.isSilent && entry->second.reportsPrimary != server.leads)
                list(id);
            if (lapse == lapsesAt_.end() || timers.now() < lapse->second)
                continue;
            daemon_->directory.lapse(id, entry->second.revision, timers.now());
            entries_.erase(entry);
            lapsesAt_.erase(lapse);
        }
        if (!daemon_->directory.removeLapsed(timers.now()).empty())
            daemon_->dispatcher.onDirectoryChange(timers.now());
    }

    DecisionLog log_;
    Metrics metrics_;
    std::map<GroupId, GroupRule> groups_;
    /** The entries in the store. */
    std::map<EndpointId, EndpointEntry> entries_;
    std::map<EndpointId, TimePoint> lapsesAt_;
    /** Restarts without data of every endpoint that was ever listed. */
    std::map<EndpointId, std::uint64_t> restarts_;
    /** Endpoints that have announced their exit. */
    std::set<EndpointId> leaving_;
    std::uint64_t revision_ = 0;
    std::size_t writes_ = 0;
    StepDownRelay* relay_ = nullptr;
    std::unique_ptr<Daemon> daemon_;
};

} // namespace almondlever

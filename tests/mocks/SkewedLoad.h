#pragma once

#include "FakeEndpoints.h"
#include "almondlever/placement/CustomerOwners.h"
#include "almondlever/placement/GroupOwners.h"
#include "almondlever/pooling/StatementDispatcher.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondlever {

/** Way to choose the owner that runs a statement. */
enum class OwnerRule {
    /** The owner in the caller's failure domain. */
    FailureDomain,
    /** CustomerOwners. */
    Customer,
};

struct SkewedLoadSettings {
    std::uint32_t seed = 1;
    OwnerRule rule = OwnerRule::Customer;
    /** Owners run their own callers' statements, whichever owner the customer prefers. */
    bool ownersRunTheirOwn = false;
    CustomerOwnerSettings owners;
    DispatcherSettings dispatcher;
    /** Part by which the demand of each failure domain rises and falls in 11 s; their phases differ. */
    double wave = 0;
    Duration warmUp = std::chrono::seconds(8);
    Duration measured = std::chrono::seconds(30);
    /** Called every 100 ms with the time since the start. */
    std::function<void(class SkewedLoad&, Duration)> onStep;
};

/** Sums over the measured time. */
struct SkewedLoadResult {
    std::size_t operations = 0;
    std::size_t served = 0;
    std::size_t statements = 0;
    std::size_t openings = 0;
    /** Statements that found every connection of their owner's share in use. */
    std::size_t waitedForRoom = 0;
    std::size_t forwarded = 0;
    /** Statements that an endpoint of another region than the owner's ran. */
    std::size_t inOtherRegion = 0;
    /** Statements whose owner is not in the region of the caller. */
    std::size_t ownerInOtherRegion = 0;
    /** Statements of the most loaded owner of a group, divided by the mean of its owners; of the worst group. */
    double worstOwner = 0;
    /** As worstOwner, as the mean over the groups. */
    double meanWorstOwner = 0;
    /** Most openings of all owners within a second. */
    std::size_t mostOpeningsInASecond = 0;
    Duration meanLatency { 0 };
    Duration latency99 { 0 };

    double openingsPerStatement() const
    {
        return static_cast<double>(openings) / static_cast<double>(std::max<std::size_t>(statements, 1));
    }
    double servedShare() const
    {
        return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(operations, 1));
    }
};

/**
 * The load of the deployment with many customers and few connections (docs/contended-load.md, section 1), in virtual
 * time and without a network: 74 daemons in 6 failure domains of 3 regions, 8 groups of 3 endpoints with 5 slots and 61
 * connections each, 807 operations a second of 79 customers whose sizes follow a Zipf law with exponent 1.2.
 * Dispatchers, choice of owners and connection pools are those of the product; messages between daemons take no time to
 * encode.
 */
class SkewedLoad {
public:
    static constexpr std::size_t customers = 79;
    static constexpr std::size_t groups = 8;
    static constexpr std::size_t domains = 6;
    static constexpr std::size_t daemons = 74;
    static constexpr std::size_t sessions = 3960;
    static constexpr double operationsPerSecond = 807;

    explicit SkewedLoad(const SkewedLoadSettings& settings)
        : settings_(settings)
        , random_(settings.seed)
    {
        for (std::size_t number = 0; number < domains; ++number)
            regions_[domainOf(number)] = "region-" + std::to_string(number / 2);
        for (std::size_t number = 0; number < daemons; ++number) {
            LiveDaemon daemon;
            daemon.id = VmId("i-" + std::to_string(1000 + number));
            daemon.failureDomain = domainOf(number % domains);
            view.daemons.push_back(daemon);
        }
        for (const LiveDaemon& daemon : view.daemons)
            entries_.push_back({ daemon, CustomerOwners(daemon.failureDomain, regions_, settings.owners), {} });
        for (std::size_t number = 0; number < groups; ++number)
            groups_.push_back(std::make_unique<Group>(*this, number));
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= customers; ++rank)
            weights.push_back(std::pow(static_cast<double>(rank), -1.2));
        std::discrete_distribution<std::size_t> customerOf(weights.begin(), weights.end());
        for (std::size_t number = 0; number < sessions; ++number) {
            sessions_.push_back({ CustomerId("customer-" + std::to_string(customerOf(random_))), number % daemons,
                static_cast<std::size_t>(random_() % groups), std::nullopt });
        }
        updateOwners();
    }

    SkewedLoadResult run()
    {
        nextArrival();
        const TimePoint start = timers.now();
        const TimePoint measuredFrom = start + settings_.warmUp;
        const TimePoint end = measuredFrom + settings_.measured;
        std::size_t opened = 0;
        std::size_t openedBefore = 0;
        std::size_t openedAtStart = 0;
        for (std::size_t step = 0; timers.now() < end; ++step) {
            if (settings_.onStep && step % 4 == 0)
                settings_.onStep(*this, timers.now() - start);
            timers.advance(StatementDispatcher::tickInterval);
            for (auto& group : groups_)
                group->tick(timers.now());
            if (!isMeasuring_ && timers.now() >= measuredFrom) {
                isMeasuring_ = true;
                openedAtStart = openedBefore = countOpened();
                runsAtStart_ = countRuns();
            }
            if (isMeasuring_ && step % 40 == 0) {
                opened = countOpened();
                result_.mostOpeningsInASecond = std::max(result_.mostOpeningsInASecond, opened - openedBefore);
                openedBefore = opened;
            }
        }
        result_.openings = countOpened() - openedAtStart;
        result_.statements = countRuns() - runsAtStart_;
        finishResult();
        // Operations that began before the end are served or refused after it.
        isMeasuring_ = false;
        for (TimePoint drained = end + std::chrono::seconds(4); timers.now() < drained;) {
            timers.advance(StatementDispatcher::tickInterval);
            for (auto& group : groups_)
                group->tick(timers.now());
        }
        return result_;
    }

    /** Recomputes the owners after a change of `view`. */
    void updateOwners() { updateOwners(view, 0, 1); }

    /** As above, only for the entry daemons with number % modulus == remainder; the others keep their view. */
    void updateOwners(const MembershipView& seen, std::size_t remainder, std::size_t modulus)
    {
        std::map<GroupId, std::vector<LiveDaemon>> owners;
        for (auto& group : groups_) {
            owners[group->rule.id] = ownersOf(group->rule, seen, {});
            for (const LiveDaemon& owner : owners[group->rule.id])
                group->addOwner(owner);
        }
        for (std::size_t number = 0; number < entries_.size(); ++number) {
            if (number % modulus != remainder)
                continue;
            entries_[number].owners.setOwners(owners);
            entries_[number].known = owners;
        }
    }

    /** Moves the sessions of a customer to entry daemons of one failure domain. */
    void moveCustomer(const std::string& customer, std::size_t domain)
    {
        for (Session& session : sessions_) {
            if (session.customer.text() == customer)
                session.entry = (random_() % (daemons / domains)) * domains + domain;
        }
    }

    /** Multiplies the operations of a customer. */
    void setRate(const std::string& customer, double factor)
    {
        hotCustomer_ = customer;
        hotFactor_ = factor;
    }

    FakeTimerService timers;
    MembershipView view;
    /** Owners that receive nothing, as seen by all daemons. */
    std::set<VmId> unusable;

private:
    struct Entry {
        LiveDaemon daemon;
        CustomerOwners owners;
        std::map<GroupId, std::vector<LiveDaemon>> known;
    };

    struct Session {
        CustomerId customer;
        std::size_t entry = 0;
        std::size_t group = 0;
        std::optional<LogPosition> position;
    };

    /** Connects from an owner with the latency between its region and the endpoint's. */
    struct Connector final : EndpointConnector {
        Connector(FakeEndpoints& target, std::string ownerRegion, const std::map<EndpointId, std::string>& regions)
            : endpoints(target)
            , region(std::move(ownerRegion))
            , regionOf(regions)
        {
        }
        std::shared_ptr<EndpointLink> connect(const EndpointEntry& entry, const CustomerId& customer,
            std::weak_ptr<EndpointLinkObserver> observer) override
        {
            const bool isNear = regionOf.at(entry.id) == region;
            return endpoints.connectFrom(
                isNear ? Milliseconds(1) : Milliseconds(12), entry, customer, std::move(observer));
        }
        FakeEndpoints& endpoints;
        std::string region;
        const std::map<EndpointId, std::string>& regionOf;
    };

    struct Owner {
        Owner(const LiveDaemon& owner, std::string ownerRegion, FakeEndpoints& endpoints,
            const std::map<EndpointId, std::string>& regions, DecisionLog& log, Metrics& metrics,
            const DispatcherSettings& settings)
            : daemon(owner)
            , region(std::move(ownerRegion))
            , connector(endpoints, region, regions)
            , dispatcher(directory, connector, log, metrics, settings)
        {
            dispatcher.setConnectionsByCustomer(true);
        }
        LiveDaemon daemon;
        std::string region;
        Connector connector;
        EndpointDirectory directory;
        StatementDispatcher dispatcher;
        std::size_t statements = 0;
    };

    struct Group {
        Group(SkewedLoad& load, std::size_t number)
            : load_(load)
            , endpoints(load.timers)
        {
            rule = { GroupId("group-" + std::to_string(number)), 61, 1 };
            endpoints.replicates = true;
            for (std::size_t region = 0; region < domains / 2; ++region) {
                const EndpointId id("e-" + std::to_string(number) + '-' + std::to_string(region));
                FakeEndpoints::Server& server = endpoints.server(id);
                server.slots = 5;
                server.queueLimit = 40;
                server.openingWork = Milliseconds(12);
                server.maximumConnections = rule.maximumConnections;
                server.leads = region == number % (domains / 2);
                server.workOf = [](const EndpointCommand& command) {
                    const std::size_t space = command.text.rfind(' ');
                    return Milliseconds(space == std::string::npos ? 2 : std::stoi(command.text.substr(space + 1)));
                };
                regionOfEndpoint[id] = "region-" + std::to_string(region);
            }
        }

        void addOwner(const LiveDaemon& daemon)
        {
            auto& owner = owners[daemon.id];
            if (owner)
                return;
            owner = std::make_unique<Owner>(daemon, load_.regions_.at(daemon.failureDomain), endpoints,
                regionOfEndpoint, load_.log_, load_.metrics_, load_.settings_.dispatcher);
            for (const auto& [id, region] : regionOfEndpoint) {
                EndpointEntry entry;
                entry.id = id;
                entry.group = rule.id;
                entry.address = "10.0.0.1:1";
                entry.slots = 5;
                entry.reportsPrimary = endpoints.server(id).leads;
                entry.startedAt = Milliseconds(1);
                entry.revision = 1;
                owner->directory.update(entry, load_.timers.now());
            }
            owner->dispatcher.setGroups({ { rule.id, rule } }, load_.timers.now());
            owner->dispatcher.setSharing({ { rule.id, domains } }, load_.timers.now());
        }

        void tick(TimePoint now)
        {
            for (auto& [id, owner] : owners)
                owner->dispatcher.onTick(now);
        }

        SkewedLoad& load_;
        GroupRule rule;
        FakeEndpoints endpoints;
        std::map<EndpointId, std::string> regionOfEndpoint;
        std::map<VmId, std::unique_ptr<Owner>> owners;
    };

    static FailureDomainId domainOf(std::size_t number) { return FailureDomainId("domain-" + std::to_string(number)); }

    void nextArrival()
    {
        std::exponential_distribution<double> gap(operationsPerSecond * std::max(1.0, hotShare()));
        timers.callAfter(
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_))), [this](TimePoint now) {
                startOperation(now);
                nextArrival();
            });
    }

    /** Factor by which the hot customer raises the load of all. */
    double hotShare() const
    {
        if (hotFactor_ == 1)
            return 1;
        const auto hot = std::count_if(sessions_.begin(), sessions_.end(),
            [this](const Session& session) { return session.customer.text() == hotCustomer_; });
        return 1 + (hotFactor_ - 1) * static_cast<double>(hot) / static_cast<double>(sessions_.size());
    }

    /** Present demand of the session's failure domain, as a multiple of its mean. */
    double waveOf(const Session& session) const
    {
        const double seconds = std::chrono::duration<double>(timers.now().time_since_epoch()).count();
        const auto domain = static_cast<double>(session.entry % domains);
        return 1 + settings_.wave * std::sin(2 * 3.14159265358979 * (seconds / 11 + domain / domains));
    }

    Session& chooseSession()
    {
        std::uniform_real_distribution<double> share(0, 1);
        while (true) {
            Session& session = sessions_[random_() % sessions_.size()];
            if (settings_.wave > 0 && share(random_) * (1 + settings_.wave) > waveOf(session))
                continue;
            if (hotFactor_ == 1 || session.customer.text() == hotCustomer_ || share(random_) < 1 / hotFactor_)
                return session;
        }
    }

    void startOperation(TimePoint now)
    {
        Session& session = chooseSession();
        std::uniform_real_distribution<double> share(0, 1);
        const double kind = share(random_) * operationsPerSecond;
        StatementRequest request;
        request.group = groups_[session.group]->rule.id;
        request.customer = session.customer;
        request.rank = kind < 109 ? 0 : kind < 298 ? 1 : 2;
        request.arrival = now;
        request.deadline = now + Milliseconds(request.rank == 1 ? 2000 : 1000);
        request.visibleBefore = now - Milliseconds(1500);
        request.maximumStaleness = Milliseconds(1500);
        request.isWrite = share(random_) < std::array { 0.2, 0.0, 0.12 }[request.rank];
        request.needsPrimary = request.rank == 0 || request.isWrite;
        request.opensTransaction = request.rank == 0 && share(random_) < 0.25;
        request.contents = contents_;
        if (request.rank == 2)
            request.sessionPosition = session.position;
        setStatement(request, request.isWrite ? StatementKind::Write : StatementKind::Read);
        const bool isMeasured = isMeasuring_;
        result_.operations += isMeasured ? 1 : 0;
        Owner* owner = chooseOwner(session, request, now);
        if (!owner)
            return;
        owner->statements += isMeasured ? 1 : 0;
        result_.ownerInOtherRegion += isMeasured && owner->region != regionOf(session) ? 1 : 0;
        const std::size_t before = queuedForRoom();
        owner->dispatcher.submit(
            request,
            [this, owner, request, &session, isMeasured](StatementResult&& result, TimePoint at) {
                if (result.transaction)
                    return continueTransaction(*owner, request, result.transaction, isMeasured);
                finishOperation(*owner, request, session, result, isMeasured, at);
            },
            now);
        result_.waitedForRoom += isMeasured ? queuedForRoom() - before : 0;
    }

    std::size_t queuedForRoom() const
    {
        return metrics_.counter("almondlever_statements_queued_total", "reason=\"connections\"");
    }

    void setStatement(StatementRequest& request, StatementKind kind)
    {
        static constexpr std::array<int, 3> durations { 8, 40, 24 };
        request.statement.id = "s" + std::to_string(++lastStatement_);
        request.statement.kind = kind;
        request.statement.text
            = (kind == StatementKind::Write ? "WRITE x " : "READ ") + std::to_string(durations[request.rank]);
    }

    /** One further statement and the commit, each 10 ms after the answer to the one before. */
    void continueTransaction(
        Owner& owner, StatementRequest request, const TransactionHandle& transaction, bool isMeasured)
    {
        timers.callAfter(Milliseconds(10), [this, &owner, request, transaction, isMeasured](TimePoint now) mutable {
            request.opensTransaction = false;
            request.deadline = now + Milliseconds(1000);
            setStatement(request, request.isWrite ? StatementKind::Write : StatementKind::Read);
            owner.dispatcher.submit(
                transaction, request,
                [this, &owner, request, isMeasured](StatementResult&& result, TimePoint) {
                    if (result.transaction)
                        commit(owner, request, result.transaction, isMeasured);
                },
                now);
        });
    }

    void commit(Owner& owner, StatementRequest request, const TransactionHandle& transaction, bool isMeasured)
    {
        timers.callAfter(Milliseconds(10), [this, &owner, request, transaction, isMeasured](TimePoint now) mutable {
            request.deadline = now + Milliseconds(1000);
            setStatement(request, StatementKind::Commit);
            request.statement.text = "COMMIT";
            owner.dispatcher.submit(
                transaction, request,
                [this, isMeasured](StatementResult&& result, TimePoint) {
                    result_.served += isMeasured && !result.reply.error ? 1 : 0;
                },
                now);
        });
    }

    void finishOperation(Owner& owner, const StatementRequest& request, Session& session, const StatementResult& result,
        bool isMeasured, TimePoint at)
    {
        if (request.isWrite && result.reply.position)
            session.position = result.reply.position;
        if (!isMeasured || result.reply.error)
            return;
        ++result_.served;
        latencies_.push_back(at - request.arrival);
        const auto& regions = groups_[session.group]->regionOfEndpoint;
        const auto found = regions.find(result.endpoint);
        result_.inOtherRegion
            += found != regions.end() && found->second != owner.region && !request.needsPrimary ? 1 : 0;
    }

    const std::string& regionOf(const Session& session) const
    {
        return regions_.at(entries_[session.entry].daemon.failureDomain);
    }

    Owner* chooseOwner(const Session& session, const StatementRequest& request, TimePoint now)
    {
        Entry& entry = entries_[session.entry];
        auto& owners = groups_[session.group]->owners;
        const std::vector<LiveDaemon>& known = entry.known.at(request.group);
        const bool isOwner = std::any_of(
            known.begin(), known.end(), [&entry](const LiveDaemon& owner) { return owner.id == entry.daemon.id; });
        if (isOwner && (settings_.ownersRunTheirOwn || settings_.rule == OwnerRule::FailureDomain))
            return owners.at(entry.daemon.id).get();
        const LiveDaemon* chosen = nullptr;
        if (settings_.rule == OwnerRule::FailureDomain) {
            for (const LiveDaemon& owner : known) {
                const bool isUsable = unusable.count(owner.id) == 0;
                if (isUsable && (!chosen || owner.failureDomain == entry.daemon.failureDomain))
                    chosen = &owner;
            }
        } else {
            const OwnerChoice choice = entry.owners.choose(
                request.group, request.customer,
                [this](const LiveDaemon& owner) {
                    return unusable.count(owner.id) > 0 ? OwnerAvailability::Unusable : OwnerAvailability::Ready;
                },
                now);
            chosen = choice.owner;
            if (chosen)
                entry.owners.noteSent(request.group, request.customer, chosen->id, now);
        }
        if (!chosen)
            return nullptr;
        result_.forwarded += isMeasuring_ && isOwner && chosen->id != entry.daemon.id ? 1 : 0;
        return owners.at(chosen->id).get();
    }

    std::size_t countOpened()
    {
        std::size_t opened = 0;
        for (auto& group : groups_) {
            for (const auto& [id, region] : group->regionOfEndpoint)
                opened += group->endpoints.server(id).openedConnections;
        }
        return opened;
    }

    std::size_t countRuns() const
    {
        std::size_t runs = 0;
        for (const auto& group : groups_)
            runs += group->endpoints.runs().size();
        return runs;
    }

    void finishResult()
    {
        for (const auto& group : groups_) {
            std::size_t most = 0;
            std::size_t sum = 0;
            std::size_t count = 0;
            for (const auto& [id, owner] : group->owners) {
                if (unusable.count(id) > 0)
                    continue;
                most = std::max(most, owner->statements);
                sum += owner->statements;
                ++count;
            }
            const double ratio = static_cast<double>(most * count) / static_cast<double>(std::max<std::size_t>(sum, 1));
            result_.worstOwner = std::max(result_.worstOwner, ratio);
            result_.meanWorstOwner += ratio / static_cast<double>(groups);
        }
        std::sort(latencies_.begin(), latencies_.end());
        if (latencies_.empty())
            return;
        for (const Duration latency : latencies_)
            result_.meanLatency += latency;
        result_.meanLatency /= static_cast<Duration::rep>(latencies_.size());
        result_.latency99 = latencies_[latencies_.size() * 99 / 100];
    }

    SkewedLoadSettings settings_;
    std::mt19937 random_;
    DecisionLog log_ { 0 };
    Metrics metrics_;
    std::map<FailureDomainId, std::string> regions_;
    std::vector<Entry> entries_;
    std::vector<std::unique_ptr<Group>> groups_;
    std::vector<Session> sessions_;
    std::shared_ptr<const SessionContents> contents_ = std::make_shared<const SessionContents>();
    std::string hotCustomer_;
    double hotFactor_ = 1;
    bool isMeasuring_ = false;
    std::size_t runsAtStart_ = 0;
    std::size_t lastStatement_ = 0;
    std::vector<Duration> latencies_;
    SkewedLoadResult result_;
};

} // namespace almondlever

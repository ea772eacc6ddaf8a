#pragma once

#include "almondlever/customers/QuotaClient.h"
#include "almondlever/placement/QuotaCoordinators.h"
#include "mocks/FakeTimerService.h"

#include <criterion/criterion.h>
#include <numeric>
#include <random>

namespace almondlever {

/** Daemons with a client and a coordinator each, a network with a delay, and callers that send at set rates. */
class QuotaFleet {
public:
    struct Daemon final : PeerNetwork {
        Daemon(QuotaFleet& owner, const LiveDaemon& member, const QuotaSettings& settings)
            : fleet(owner)
            , self(member)
            , coordinator(member.id, settings)
            , client(member.id, member.failureDomain, coordinator, owner.log, owner.metrics, settings)
        {
            client.setNetwork(this);
            client.setProcess(++owner.processes);
        }

        Result<Done, std::string> listen() override { return Done {}; }
        bool send(const VmId& to, const std::string&, const Message& message) override
        {
            const auto decoded = decodeMessage(encodeMessage(message));
            cr_assert(decoded.hasValue());
            ++fleet.messages;
            fleet.timers.callAfter(
                fleet.delay, [&owner = fleet, from = self.id, to, sent = decoded.value()](TimePoint now) {
                    owner.deliver(from, to, sent, now);
                });
            return true;
        }
        bool isConnected(const VmId&) const override { return true; }
        void onMessage(MessageHandler) override { }
        void onLoss(LossHandler) override { }
        void onUnsent(UnsentHandler) override { }
        std::uint64_t bytesTransferred() const override { return 0; }
        PeerTraffic traffic() const override { return {}; }
        void stop() override { }

        QuotaFleet& fleet;
        LiveDaemon self;
        QuotaCoordinator coordinator;
        QuotaClient client;
        /** Neither sends nor receives. */
        bool isCut = false;
        /** Receives nothing and has no time until it continues. */
        bool isPaused = false;
        /** Its answers to others are lost. */
        bool losesAnswers = false;
    };

    QuotaFleet(std::size_t size, const RateLimit& limit, bool isFirstStart = true,
        const QuotaSettings& given = QuotaSettings())
        : settings(given)
        , registry(std::make_shared<CustomerRegistry>())
    {
        registry->add({ customer, {}, limit });
        for (std::size_t number = 0; number < size; ++number) {
            LiveDaemon member;
            member.id = VmId("vm-" + std::to_string(1000 + number));
            member.failureDomain = FailureDomainId("domain-" + std::to_string(number % 6));
            member.capacity = number < 12 ? 50 : 12;
            view.daemons.push_back(member);
        }
        for (const LiveDaemon& member : view.daemons)
            start(member.id, settings, isFirstStart);
        bound_ = boundOf(limit);
    }

    double boundOf(const RateLimit& limit) const
    {
        const double window = std::chrono::duration<double>(settings.window).count();
        return (limit.operationsPerSecond * window + limit.burst) * (1 + settings.overage) + settings.slack;
    }

    /** Starts a daemon, or replaces it by a new process that knows nothing of the former one. */
    void start(const VmId& id, const QuotaSettings& given, bool isFirstStart = false)
    {
        auto daemon = std::make_unique<Daemon>(*this, *view.find(id), given);
        if (isFirstStart)
            daemon->coordinator.setFirstStart();
        setCustomers(*daemon);
        setView(*daemon, view);
        daemons[id] = std::move(daemon);
    }

    void setCustomers(Daemon& daemon)
    {
        daemon.coordinator.setCustomers(registry, timers.now());
        daemon.client.setCustomers(registry);
    }

    void deliver(const VmId& from, const VmId& to, const Message& message, TimePoint now)
    {
        Daemon& target = *daemons.at(to);
        const Daemon& source = *daemons.at(from);
        if (source.isCut || target.isCut)
            return;
        if (target.isPaused) {
            timers.callAfter(
                Milliseconds(50), [this, from, to, message](TimePoint at) { deliver(from, to, message, at); });
            return;
        }
        if (const auto* request = std::get_if<QuotaRequest>(&message))
            target.send(from, "", target.coordinator.onRequest(from, *request, now));
        const auto* answer = std::get_if<QuotaAnswer>(&message);
        if (answer && !source.losesAnswers)
            target.client.onAnswer(from, *answer, now);
    }

    /** The customer's coordinators. */
    std::vector<LiveDaemon> coordinators() const
    {
        const auto fleetCoordinators = quotaCoordinators(view, settings.daemonsPerCoordinator, settings.coordinators);
        return coordinatorsOf(customer, settings.coordinators, fleetCoordinators);
    }

    void setView(Daemon& daemon, const MembershipView& members)
    {
        const auto coordinators = quotaCoordinators(members, settings.daemonsPerCoordinator, settings.coordinators);
        daemon.coordinator.setCoordinators(coordinators, timers.now());
        daemon.client.setCoordinators(coordinators);
    }

    /** Lets callers request operations at random daemons, at a rate per second. */
    void run(Duration length, double rate, std::size_t rank = 1)
    {
        const TimePoint end = timers.now() + length;
        std::exponential_distribution<double> gap(rate);
        std::uniform_int_distribution<std::size_t> index(0, view.daemons.size() - 1);
        TimePoint next = timers.now();
        TimePoint nextTick = timers.now();
        while (timers.now() < end) {
            if (timers.now() >= nextTick) {
                for (auto& [id, daemon] : daemons) {
                    if (!daemon->isPaused)
                        daemon->client.onTick(timers.now());
                }
                nextTick = timers.now() + Milliseconds(25);
            }
            if (timers.now() >= next) {
                Daemon& daemon = *daemons.at(view.daemons[index(random_)].id);
                if (!daemon.isPaused)
                    requestAt(daemon, rank);
                next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
            }
            timers.advance(std::max<Duration>(std::min(next, nextTick) - timers.now(), Milliseconds(0)));
        }
    }

    /** Requests one operation at a daemon; the result is noted in granted, grantedOf and refusedOf. */
    void requestAt(Daemon& daemon, std::size_t rank = 1)
    {
        ++requested;
        const TimePoint sent = timers.now();
        daemon.client.request(
            { "q" + std::to_string(requested), customer, rank },
            [this, rank, sent](const std::optional<QuotaRefusal>& refusal, TimePoint at) {
                if (!refusal) {
                    granted.emplace_back(sent, at);
                    ++grantedOf[rank];
                    return;
                }
                ++refusedOf[rank];
                lastRefusal = *refusal;
            },
            sent);
    }

    /** What became of the operations of one customer. */
    struct Tally {
        std::size_t served = 0;
        std::size_t immediate = 0;
        std::size_t refused = 0;
        std::vector<TimePoint> servedAt;
        std::vector<TimePoint> refusedAt;
    };

    /** Lets the callers of several customers request operations at random daemons, at a rate per second each. */
    void runMany(Duration length, const std::vector<CustomerId>& ids, const std::vector<double>& rates)
    {
        const TimePoint end = timers.now() + length;
        std::discrete_distribution<std::size_t> which(rates.begin(), rates.end());
        std::exponential_distribution<double> gap(std::accumulate(rates.begin(), rates.end(), 0.0));
        std::uniform_int_distribution<std::size_t> index(0, view.daemons.size() - 1);
        TimePoint nextTick = timers.now();
        while (timers.now() < end) {
            if (timers.now() >= nextTick) {
                for (auto& [id, daemon] : daemons)
                    daemon->client.onTick(timers.now());
                nextTick = timers.now() + Milliseconds(25);
            }
            const TimePoint sent = timers.now();
            const CustomerId id = ids[which(random_)];
            daemons.at(view.daemons[index(random_)].id)
                ->client.request(
                    { "q", id, 1 },
                    [this, id, sent](const std::optional<QuotaRefusal>& refusal, TimePoint at) {
                        Tally& tally = tallies[id];
                        ++(refusal ? tally.refused : tally.served);
                        (refusal ? tally.refusedAt : tally.servedAt).push_back(at);
                        tally.immediate += !refusal && at == sent ? 1 : 0;
                    },
                    sent);
            timers.advance(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_))));
        }
    }

    /** Largest number of operations that were both requested and granted in one window. */
    std::size_t most() const
    {
        std::size_t most = 0;
        for (const auto& [start, ignored] : granted) {
            std::size_t count = 0;
            for (const auto& [sent, at] : granted)
                count += sent >= start && at <= start + settings.window ? 1 : 0;
            most = std::max(most, count);
        }
        return most;
    }
    /** Smallest number of operations that were granted in one window, of those that begin after a time of the run. */
    std::size_t fewestAfter(Duration begin) const
    {
        std::size_t fewest = granted.size();
        const TimePoint first = granted.front().first;
        const TimePoint last = granted.back().second;
        for (TimePoint start = first + begin; start + settings.window <= last; start += Milliseconds(100)) {
            std::size_t count = 0;
            for (const auto& [sent, at] : granted)
                count += at >= start && at < start + settings.window ? 1 : 0;
            fewest = std::min(fewest, count);
        }
        return fewest;
    }
    double bound() const { return bound_; }

    const CustomerId customer { "curing" };
    FakeTimerService timers;
    DecisionLog log { 0 };
    Metrics metrics;
    QuotaSettings settings;
    std::shared_ptr<CustomerRegistry> registry;
    std::uint64_t processes = 0;
    Milliseconds delay { 13 };
    MembershipView view;
    std::map<VmId, std::unique_ptr<Daemon>> daemons;
    std::vector<std::pair<TimePoint, TimePoint>> granted;
    std::map<std::size_t, std::size_t> grantedOf;
    std::map<std::size_t, std::size_t> refusedOf;
    std::optional<QuotaRefusal> lastRefusal;
    std::map<CustomerId, Tally> tallies;
    std::size_t requested = 0;
    std::size_t messages = 0;

private:
    std::mt19937 random_ { 20261204 };
    double bound_ = 0;
};

} // namespace almondlever

#include "almondlever/customers/QuotaClient.h"
#include "almondlever/placement/QuotaCoordinators.h"
#include "mocks/FakeTimerService.h"

#include <criterion/criterion.h>
#include <random>

using namespace almondlever;

namespace {

/** Daemons with a client and a coordinator each, a network with a delay, and callers that send at set rates. */
class QuotaFleet {
public:
    struct Daemon final : PeerNetwork {
        Daemon(QuotaFleet& owner, const LiveDaemon& member)
            : fleet(owner)
            , self(member)
            , coordinator(member.id, owner.settings)
            , client(member.id, member.failureDomain, coordinator, owner.log, owner.metrics, owner.settings)
        {
            client.setNetwork(this);
        }

        Result<Done, std::string> listen() override { return Done {}; }
        bool send(const VmId& to, const std::string&, const Message& message) override
        {
            const auto decoded = decodeMessage(encodeMessage(message));
            cr_assert(decoded.hasValue());
            ++fleet.messages;
            fleet.timers.callAfter(fleet.delay, [this, to, message = decoded.value()](TimePoint now) {
                Daemon& target = *fleet.daemons.at(to);
                if (isCut || target.isCut)
                    return;
                if (const auto* request = std::get_if<QuotaRequest>(&message))
                    target.send(self.id, "", target.coordinator.onRequest(*request, now));
                if (const auto* answer = std::get_if<QuotaAnswer>(&message))
                    target.client.onAnswer(self.id, *answer, now);
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
        bool isCut = false;
    };

    QuotaFleet(std::size_t size, const RateLimit& limit, bool isFirstStart = true)
    {
        auto registry = std::make_shared<CustomerRegistry>();
        registry->add({ customer, {}, limit });
        for (std::size_t number = 0; number < size; ++number) {
            LiveDaemon member;
            member.id = VmId("vm-" + std::to_string(1000 + number));
            member.failureDomain = FailureDomainId("domain-" + std::to_string(number % 6));
            member.capacity = number < 12 ? 50 : 12;
            view.daemons.push_back(member);
        }
        for (const LiveDaemon& member : view.daemons) {
            auto daemon = std::make_unique<Daemon>(*this, member);
            if (isFirstStart)
                daemon->coordinator.setFirstStart();
            daemons.emplace(member.id, std::move(daemon));
        }
        for (auto& [id, daemon] : daemons) {
            daemon->coordinator.setCustomers(registry, timers.now());
            daemon->client.setCustomers(registry);
            setView(*daemon, view);
        }
        bound_ = [this, limit] {
            const double window = std::chrono::duration<double>(settings.window).count();
            const double allowance = limit.operationsPerSecond * window + limit.burst;
            return allowance * (1 + settings.overage) + settings.slack;
        }();
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
                for (auto& [id, daemon] : daemons)
                    daemon->client.onTick(timers.now());
                nextTick = timers.now() + Milliseconds(25);
            }
            if (timers.now() >= next) {
                requestAt(*daemons.at(view.daemons[index(random_)].id), rank);
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
    Milliseconds delay { 13 };
    MembershipView view;
    std::map<VmId, std::unique_ptr<Daemon>> daemons;
    std::vector<std::pair<TimePoint, TimePoint>> granted;
    std::map<std::size_t, std::size_t> grantedOf;
    std::map<std::size_t, std::size_t> refusedOf;
    std::optional<QuotaRefusal> lastRefusal;
    std::size_t requested = 0;
    std::size_t messages = 0;

private:
    std::mt19937 random_ { 20261204 };
    double bound_ = 0;
};

} // namespace

// Hot customer: one sends many times its limit at all 73 daemons. Guards against more operations in a window than the
// limit allows over all daemons, against refusing what the customer is entitled to in a window, and against refusals
// that do not say when to return.
Test(Quota, hotCustomerStaysWithinItsLimit)
{
    QuotaFleet fleet(73, { 40, 40 });
    fleet.run(std::chrono::seconds(12), 200);
    cr_assert_leq(static_cast<double>(fleet.most()), fleet.bound());
    // In each window the customer is entitled to 5 s x 40 + 40 operations.
    cr_assert_geq(fleet.fewestAfter(std::chrono::seconds(1)), 240U * 97U / 100U);
    cr_assert(fleet.lastRefusal.has_value());
    cr_assert_eq(fleet.lastRefusal->reason, "quota_exceeded");
    cr_assert_gt(fleet.lastRefusal->retryAfter.count(), 0);
}

// Guards against refusals of a customer that stays below its limit, large or small.
Test(Quota, customerBelowItsLimitIsNotRefused)
{
    for (const double rate : { 40.0, 2.4 }) {
        QuotaFleet fleet(73, { rate, rate });
        fleet.run(std::chrono::seconds(10), rate / 1.6);
        cr_assert_eq(fleet.refusedOf[1], 0U, "%zu refused at a limit of %f", fleet.refusedOf[1], rate);
    }
}

// A coordinator is cut off. Guards against a customer below its limit that is refused because of it, and against its
// share being granted twice.
Test(Quota, survivesTheLossOfACoordinator)
{
    QuotaFleet fleet(73, { 40, 40 });
    fleet.run(std::chrono::seconds(1), 20);
    fleet.daemons.at(fleet.coordinators().front().id)->isCut = true;
    fleet.run(std::chrono::seconds(5), 20);
    // The callers of the daemon that is cut off are refused: it reaches no coordinator but itself.
    cr_assert_leq(fleet.refusedOf[1], 3U);
    fleet.run(std::chrono::seconds(6), 200);
    cr_assert_leq(static_cast<double>(fleet.most()), fleet.bound());
}

// A customer rests and then floods. Guards against a bucket that saves up more than a window may contain.
Test(Quota, restingCustomerSavesNoMoreThanItsBound)
{
    QuotaFleet fleet(73, { 40, 40 });
    fleet.timers.advance(std::chrono::seconds(30));
    fleet.run(std::chrono::seconds(6), 400);
    cr_assert_leq(static_cast<double>(fleet.most()), fleet.bound());
}

// Daemons learn of new coordinators at different times. Guards against the former and the new ones granting the same
// shares at once.
Test(Quota, changeOfCoordinatorsGrantsNothingTwice)
{
    QuotaFleet fleet(73, { 40, 40 });
    fleet.run(std::chrono::seconds(3), 200);
    MembershipView smaller = fleet.view;
    for (const LiveDaemon& former : fleet.coordinators())
        smaller.daemons.erase(std::find_if(smaller.daemons.begin(), smaller.daemons.end(),
            [&former](const LiveDaemon& daemon) { return daemon.id == former.id; }));
    std::size_t number = 0;
    for (auto& [id, daemon] : fleet.daemons) {
        if (++number % 2 == 0)
            fleet.setView(*daemon, smaller);
    }
    fleet.run(Milliseconds(2500), 400);
    for (auto& [id, daemon] : fleet.daemons)
        fleet.setView(*daemon, smaller);
    fleet.run(std::chrono::seconds(5), 200);
    cr_assert_leq(static_cast<double>(fleet.most()), fleet.bound());
}

// Guards against a restarted fleet that grants a second burst in the same window.
Test(Quota, restartedCoordinatorsStartEmpty)
{
    QuotaFleet fleet(73, { 40, 40 }, false);
    fleet.run(std::chrono::seconds(1), 400);
    // The entitlement of 240 operations in 5 s, spread over its window.
    cr_assert_leq(fleet.granted.size(), 240U / 5U);
}

// A daemon's callers send while the answer of a coordinator is late or the daemon is suspended. Guards against
// operations that use a grant older than its lifetime, on which the coordinator's bound rests.
Test(Quota, lateAnswerServesOnlyTheOperationsThatAskedForIt)
{
    QuotaFleet fleet(73, { 40, 40 });
    auto& daemon = *fleet.daemons.at(VmId("vm-1050"));
    // Spare operations are requested once the customer's operations arrive steadily.
    for (int count = 0; count < 40; ++count) {
        fleet.requestAt(daemon);
        fleet.timers.advance(Milliseconds(30));
    }
    fleet.timers.advance(Milliseconds(300));
    const std::size_t before = fleet.granted.size();
    fleet.delay = Milliseconds(90);
    fleet.requestAt(daemon);
    fleet.timers.advance(Milliseconds(150));
    fleet.requestAt(daemon);
    // The answer to the first request arrives after 180 ms with operations for both.
    fleet.timers.advance(Milliseconds(40));
    cr_assert_eq(fleet.granted.size() - before, 1U, "%zu used a late answer", fleet.granted.size() - before);
    fleet.timers.advance(Milliseconds(200));
    cr_assert_eq(fleet.granted.size() - before, 2U, "the later operation is asked for again");
}

// Hot customer: its urgent operations compete with a flood of its own other ones. Guards against refusing urgent
// operations at random when the customer exceeds its limit.
Test(Quota, urgentOperationsGoFirstWithinTheLimit)
{
    QuotaFleet fleet(73, { 40, 40 });
    fleet.run(std::chrono::seconds(4), 300, 1);
    const std::size_t before = fleet.grantedOf[0];
    for (int step = 0; step < 400; ++step) {
        fleet.run(Milliseconds(8), 150, 1);
        fleet.run(Milliseconds(2), 60, 0);
    }
    const std::size_t urgent = fleet.grantedOf[0] - before;
    cr_assert_geq(static_cast<double>(urgent), 0.95 * static_cast<double>(urgent + fleet.refusedOf[0]));
}

// Guards against a fleet in which every daemon keeps channels to a number of coordinators that grows with it, and
// against coordinators whose load does.
Test(Quota, coordinatorsGrowWithTheFleet)
{
    MembershipView view;
    for (std::size_t number = 0; number < 4400; ++number)
        view.daemons.push_back({ VmId("vm-" + std::to_string(10000 + number)),
            FailureDomainId("domain-" + std::to_string(number % 15)), "", false, 50 });
    const QuotaSettings settings;
    const auto coordinators = quotaCoordinators(view, settings.daemonsPerCoordinator, settings.coordinators);
    cr_assert_eq(coordinators.size(), 184U);
    std::map<VmId, std::size_t> customersOf;
    for (std::size_t number = 0; number < 5000; ++number) {
        const CustomerId customer("customer-" + std::to_string(number));
        for (const LiveDaemon& daemon : coordinatorsOf(customer, settings.coordinators, coordinators))
            ++customersOf[daemon.id];
    }
    for (const auto& [id, count] : customersOf)
        cr_assert_leq(count, 2U * 5000U * 3U / 184U);
}

#include "mocks/SkewedLoad.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace almondlever;

// The bounds are the targets of docs/contended-load.md, section 5: at most 0.25 openings for each statement at an
// endpoint, and at most 1.25 times the mean at the most loaded owner.

namespace {

constexpr double openingsTarget = 0.25;
constexpr double loadTarget = 1.25;

SkewedLoadSettings makeSettings()
{
    SkewedLoadSettings settings;
    settings.dispatcher.retainsLinksByDemand = true;
    return settings;
}

SkewedLoadResult play(const char* name, const SkewedLoadSettings& settings)
{
    const SkewedLoadResult result = SkewedLoad(settings).run();
    const auto milliseconds
        = [](Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); };
    std::printf(
        "%s: served %.4f, openings per statement %.3f, waited for room %zu, most loaded owner %.2f (groups' mean "
        "%.2f), reads in other regions %zu, owners forwarded %zu, most openings in a second %zu, latency %.1f ms, "
        "99%% %.1f ms\n",
        name, result.servedShare(), result.openingsPerStatement(), result.waitedForRoom, result.worstOwner,
        result.meanWorstOwner, result.inOtherRegion, result.forwarded, result.mostOpeningsInASecond,
        milliseconds(result.meanLatency), milliseconds(result.latency99));
    std::fflush(stdout);
    return result;
}

/** Runs a change once, at a time after the start. */
std::function<void(SkewedLoad&, Duration)> at(std::chrono::seconds time, std::function<void(SkewedLoad&)> change)
{
    return [time, change = std::move(change), isDone = false](SkewedLoad& load, Duration elapsed) mutable {
        if (isDone || elapsed < time)
            return;
        isDone = true;
        change(load);
    };
}

VmId ownerOf(const SkewedLoad& load) { return ownersOf({ GroupId("group-0"), 61, 1 }, load.view, {}).front().id; }

} // namespace

// 79 customers of very different sizes share 8 connections. Guards against an opening for every other statement, and
// against the owner of the largest customer becoming a hot spot. The next test shows that it fails without each
// mechanism.
Test(SkewedLoad, manyCustomersShareFewConnections)
{
    for (const std::uint32_t seed : { 1U, 2U, 3U }) {
        SkewedLoadSettings settings = makeSettings();
        settings.seed = seed;
        const SkewedLoadResult result = play("many customers", settings);
        cr_assert_leq(result.openingsPerStatement(), openingsTarget);
        cr_assert_leq(result.worstOwner, loadTarget);
        cr_assert_eq(result.waitedForRoom, 0U);
        cr_assert_eq(result.ownerInOtherRegion, 0U);
        SkewedLoadSettings before;
        before.seed = seed;
        before.rule = OwnerRule::FailureDomain;
        cr_assert_geq(result.servedShare(), play("before", before).servedShare(), "the served share is not lower");
    }
}

// Takes out one mechanism at a time, or replaces it by an alternative (docs/design/customer-connections.md), and shows
// that a target is missed. Guards against mechanisms that are kept without need, and against a load that tests nothing.
Test(SkewedLoad, eachMechanismIsNeeded)
{
    struct Variant {
        const char* name;
        std::function<void(SkewedLoadSettings&)> change;
    };
    const std::vector<Variant> variants {
        { "owner of the failure domain", [](SkewedLoadSettings& s) { s.rule = OwnerRule::FailureDomain; } },
        { "hash alone", [](SkewedLoadSettings& s) { s.owners.spillingShare = 2; } },
        { "all customers spill at 1.25",
            [](SkewedLoadSettings& s) {
                s.owners.spillingShare = 0;
                s.owners.loadFactor = 1.25;
            } },
        { "load of outstanding statements",
            [](SkewedLoadSettings& s) {
                s.owners.spillingShare = 0;
                s.owners.loadFactor = 1.25;
                s.owners.loadHalfLife = Milliseconds(50);
            } },
        { "large customers spill at 1.25", [](SkewedLoadSettings& s) { s.owners.loadFactor = 1.25; } },
        { "longest idle, 250 ms beyond the kept share",
            [](SkewedLoadSettings& s) { s.dispatcher.retainsLinksByDemand = false; } },
        { "longest idle, all kept",
            [](SkewedLoadSettings& s) {
                s.dispatcher.retainsLinksByDemand = false;
                s.dispatcher.keptShare = s.dispatcher.loadShare;
            } },
        { "surplus of 250 ms",
            [](SkewedLoadSettings& s) { s.dispatcher.retention.surplusHorizon = Milliseconds(250); } },
        { "no penalty of openings", [](SkewedLoadSettings& s) { s.dispatcher.openingPenalty = Milliseconds(0); } },
    };
    for (const Variant& variant : variants) {
        SkewedLoadSettings settings = makeSettings();
        variant.change(settings);
        const SkewedLoadResult result = play(variant.name, settings);
        cr_assert(result.openingsPerStatement() > openingsTarget || result.worstOwner > loadTarget, "%s", variant.name);
    }
}

// Guards against owners that run their callers' statements although another owner has the customer's connections.
Test(SkewedLoad, ownersForwardToThePreferredOwner)
{
    SkewedLoadSettings settings = makeSettings();
    const SkewedLoadResult forwarding = play("owners forward", settings);
    settings.ownersRunTheirOwn = true;
    const SkewedLoadResult local = play("owners run their own", settings);
    cr_assert_gt(forwarding.forwarded, 0U);
    cr_assert_lt(forwarding.openings, local.openings);
}

// The waves of the deployment: 27 %, with a phase of its own in each failure domain. Guards against connections that
// are closed in each trough and opened again at the next crest.
Test(SkewedLoad, wavesOfDemandCloseNoConnections)
{
    for (const std::uint32_t seed : { 1U, 2U, 3U }) {
        SkewedLoadSettings settings = makeSettings();
        settings.seed = seed;
        settings.wave = 0.27;
        const SkewedLoadResult result = play("waves", settings);
        cr_assert_leq(result.openingsPerStatement(), openingsTarget);
        cr_assert_leq(result.worstOwner, loadTarget);
    }
}

// One customer at five times its rate. Guards against an owner that gets all of the flood.
Test(SkewedLoad, floodOfOneCustomerIsSpread)
{
    SkewedLoadSettings settings = makeSettings();
    settings.onStep = at(std::chrono::seconds(10), [](SkewedLoad& load) { load.setRate("customer-2", 5); });
    const SkewedLoadResult result = play("flood", settings);
    cr_assert_leq(result.worstOwner, loadTarget);
    cr_assert_leq(result.openingsPerStatement(), openingsTarget);
    cr_assert_eq(result.waitedForRoom, 0U);
}

// A customer of medium size floods for 2 s, again and again. Guards against connections of others that are closed for
// each flood and opened again after it.
Test(SkewedLoad, changesOfDemandCauseNoStormOfOpenings)
{
    const SkewedLoadResult steady = play("steady", makeSettings());
    SkewedLoadSettings settings = makeSettings();
    settings.onStep = [](SkewedLoad& load, Duration elapsed) {
        const bool isFlood = std::chrono::duration_cast<std::chrono::seconds>(elapsed).count() % 6 < 2;
        load.setRate("customer-9", isFlood ? 8 : 1);
    };
    const SkewedLoadResult result = play("changing", settings);
    cr_assert_leq(result.mostOpeningsInASecond, steady.mostOpeningsInASecond * 2);
    cr_assert_leq(result.openingsPerStatement(), openingsTarget);
}

// Guards against statements that are lost, or customers that all move, when an owner leaves.
Test(SkewedLoad, ownerLeaves)
{
    SkewedLoadSettings settings = makeSettings();
    settings.onStep = at(std::chrono::seconds(15), [](SkewedLoad& load) {
        const VmId leaving = ownerOf(load);
        auto& daemons = load.view.daemons;
        daemons.erase(std::remove_if(daemons.begin(), daemons.end(),
                          [&leaving](const LiveDaemon& daemon) { return daemon.id == leaving; }),
            daemons.end());
        load.updateOwners();
    });
    const SkewedLoadResult result = play("owner leaves", settings);
    cr_assert_geq(result.servedShare(), 0.99);
    cr_assert_leq(result.openingsPerStatement(), openingsTarget);
    cr_assert_eq(result.ownerInOtherRegion, 0U);
}

// An owner is silent for 5 s. Guards against statements that wait for it, and against other regions being used while an
// owner of the region can serve.
Test(SkewedLoad, ownerIsSilentForAWhile)
{
    SkewedLoadSettings settings = makeSettings();
    settings.onStep = [](SkewedLoad& load, Duration elapsed) {
        const bool isSilent = elapsed >= std::chrono::seconds(15) && elapsed < std::chrono::seconds(20);
        load.unusable = isSilent ? std::set<VmId> { ownerOf(load) } : std::set<VmId> {};
    };
    const SkewedLoadResult result = play("owner silent", settings);
    cr_assert_geq(result.servedShare(), 0.99);
    cr_assert_eq(result.ownerInOtherRegion, 0U);
    cr_assert_leq(result.openingsPerStatement(), openingsTarget);
}

// Both owners of a region are silent for 5 s. Guards against statements that are not run although other regions have
// owners that can serve.
Test(SkewedLoad, regionWithoutOwnersUsesOthers)
{
    SkewedLoadSettings settings = makeSettings();
    settings.onStep = [](SkewedLoad& load, Duration elapsed) {
        load.unusable.clear();
        if (elapsed < std::chrono::seconds(15) || elapsed >= std::chrono::seconds(20))
            return;
        for (const LiveDaemon& owner : ownersOf({ GroupId("group-0"), 61, 1 }, load.view, {})) {
            if (owner.failureDomain.text() <= "domain-1")
                load.unusable.insert(owner.id);
        }
    };
    const SkewedLoadResult result = play("region without owners", settings);
    cr_assert_geq(result.servedShare(), 0.99);
    cr_assert_gt(result.ownerInOtherRegion, 0U);
}

// Half of the daemons do not see for the whole time that an owner was replaced. Guards against refusals by an owner
// that another daemon does not prefer: it costs openings and nothing else.
Test(SkewedLoad, divergingViewsCostOnlyOpenings)
{
    SkewedLoadSettings settings = makeSettings();
    settings.onStep = at(std::chrono::seconds(1), [](SkewedLoad& load) {
        MembershipView seen = load.view;
        const VmId unseen = ownerOf(load);
        seen.daemons.erase(std::remove_if(seen.daemons.begin(), seen.daemons.end(),
                               [&unseen](const LiveDaemon& daemon) { return daemon.id == unseen; }),
            seen.daemons.end());
        load.updateOwners(seen, 0, 2);
    });
    const SkewedLoadResult result = play("diverging views", settings);
    cr_assert_geq(result.servedShare(), 0.99);
    cr_assert_eq(result.waitedForRoom, 0U);
}

// All sessions of a large customer move to another failure domain every 5 s. Guards against a storm of openings.
Test(SkewedLoad, customerMovesBetweenFailureDomains)
{
    const SkewedLoadResult steady = play("steady", makeSettings());
    SkewedLoadSettings settings = makeSettings();
    settings.onStep = [last = std::size_t { 0 }](SkewedLoad& load, Duration elapsed) mutable {
        const auto number = static_cast<std::size_t>(elapsed / std::chrono::seconds(5));
        if (number == last)
            return;
        last = number;
        load.moveCustomer("customer-1", number % SkewedLoad::domains);
    };
    const SkewedLoadResult result = play("customer moves", settings);
    cr_assert_geq(result.servedShare(), 0.99);
    cr_assert_leq(result.mostOpeningsInASecond, steady.mostOpeningsInASecond * 2);
}

#include "mocks/SkewedLoad.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>

using namespace almondlever;

namespace {

void print(const char* name, const SkewedLoadResult& r)
{
    std::printf("%-34s ops %zu served %.4f stmts %zu openings %zu (%.3f) wait %zu fwd %zu other-region reads %zu owner-elsewhere %zu "
                "worst owner %.2f mean %.2f peak openings %zu latency %.1f p99 %.1f\n",
        name, r.operations, r.servedShare(), r.statements, r.openings, r.openingsPerStatement(), r.waitedForRoom,
        r.forwarded, r.inOtherRegion, r.ownerInOtherRegion, r.worstOwner, r.meanWorstOwner, r.mostOpeningsInASecond,
        std::chrono::duration<double, std::milli>(r.meanLatency).count(),
        std::chrono::duration<double, std::milli>(r.latency99).count());
    std::fflush(stdout);
}

} // namespace

Test(SkewedLoad, comparison)
{
    const auto env = [](const char* name, double value) { const char* text = std::getenv(name); return text ? std::atof(text) : value; };
    SkewedLoadSettings settings;
    if (env("DOMAIN", 0) > 0)
        settings.rule = OwnerRule::FailureDomain;
    settings.seed = static_cast<std::uint32_t>(env("SEED", 1));
    settings.owners.loadFactor = env("FACTOR", 1.1);
    settings.owners.spillingShare = env("SHARE", 0.1);
    settings.owners.loadHalfLife = Milliseconds(static_cast<int>(env("OWNERHALF", 20000)));
    settings.dispatcher.keptShare = env("KEPT", 0.45);
    settings.dispatcher.loadShare = env("LOADSHARE", 0.8);
    settings.dispatcher.retainsLinksByDemand = env("RETAIN", 1) > 0;
    settings.dispatcher.retention.demandHalfLife = Milliseconds(static_cast<int>(env("HALF", 20000)));
    settings.dispatcher.retention.surplusHorizon = Milliseconds(static_cast<int>(env("HORIZON", 10000)));
    settings.dispatcher.openingPenalty = Milliseconds(static_cast<int>(env("PENALTY", 0)));
    settings.ownersRunTheirOwn = env("OWN", 0) > 0;
    print(std::getenv("NAME"), SkewedLoad(settings).run());
}

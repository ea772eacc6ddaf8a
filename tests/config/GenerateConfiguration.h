#pragma once

#include "almondlever/config/Configuration.h"
#include "almondlever/config/ConfigurationOrder.h"

#include <rapidcheck.h>

namespace almondlever {

/** Generates configurations with valid references from a few names, so that two of them often share subjects. */
inline Configuration generateConfiguration()
{
    const auto draw = [](int minimum, int maximum) { return *rc::gen::inRange(minimum, maximum + 1); };
    const auto name = [](const std::string& prefix, int number) { return prefix + std::to_string(number); };
    Configuration configuration;
    configuration.deployment = name("deployment-", draw(1, 2));
    for (int i = 0; i < 3; ++i)
        configuration.failureDomains.push_back(
            { FailureDomainId(name("domain-", i)), RegionId(name("region-", draw(0, 2))) });
    const int databaseCount = draw(1, 3);
    for (int i = 0; i < databaseCount; ++i) {
        DatabaseDescription database { DatabaseId(name("database-", i)), {} };
        const int endpointCount = draw(0, 3);
        for (int j = 0; j < endpointCount; ++j)
            database.endpoints.push_back({ EndpointId(name(name("endpoint-", i) + "-", j)),
                VmId(name("vm-", draw(0, 9))), FailureDomainId(name("domain-", draw(0, 2))),
                "127.0.0.1:" + std::to_string(draw(1, 3)), static_cast<std::size_t>(draw(1, 3)),
                static_cast<std::size_t>(draw(10, 12)), Milliseconds(draw(1, 2)) });
        configuration.databases.push_back(std::move(database));
    }
    const int rankCount = draw(1, 3);
    for (int i = 0; i < rankCount; ++i)
        configuration.ranks.push_back(
            { RankName(name("rank-", i)), draw(0, 333) / 1000.0, Milliseconds(draw(1, 2) * 500),
                static_cast<std::size_t>(draw(1, 2)), static_cast<std::size_t>(draw(1023, 1025)) });
    if (*rc::gen::arbitrary<bool>())
        std::swap(configuration.ranks.front(), configuration.ranks.back());
    const int callerCount = draw(0, 3);
    for (int i = 0; i < callerCount; ++i) {
        CallerRule caller;
        caller.id = CallerId(name("caller-", i));
        caller.rank = static_cast<std::size_t>(draw(0, rankCount - 1));
        for (int j = 0; j < databaseCount; ++j) {
            if (*rc::gen::arbitrary<bool>())
                caller.databases.emplace_back(name("database-", j));
        }
        caller.readYourWrites = *rc::gen::arbitrary<bool>();
        caller.maxStaleness = Milliseconds(draw(0, 2) * 1000);
        configuration.callers.push_back(std::move(caller));
    }
    return configuration;
}

} // namespace almondlever

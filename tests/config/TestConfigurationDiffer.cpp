#include "ExampleFiles.h"
#include "GenerateConfiguration.h"
#include "almondlever/config/ConfigurationCodec.h"
#include "almondlever/config/ConfigurationDiffer.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

std::vector<std::string> describeAll(const ConfigurationChanges& changes)
{
    std::vector<std::string> lines;
    for (const ConfigurationChange& change : changes)
        lines.push_back(describe(change));
    return lines;
}

} // namespace

// Guards against descriptions that lack the caller, the property or the units used in the configuration files.
Test(ConfigurationDiffer, describesChangesAsText)
{
    const auto loaded = loadExample("kavango");
    cr_assert(loaded.hasValue());
    Configuration after = loaded.value();
    after.callers[0].maxStaleness = Milliseconds(1500);
    after.callers[0].rank = 1;
    after.ranks[0].floor = 0.125;
    after.databases.pop_back();
    const std::vector<std::string> expected {
        "database moisture: removed",
        "endpoint moisture-erongo: removed",
        "endpoint moisture-kavango: removed",
        "endpoint moisture-khomas: removed",
        "rank border: floor 60% -> 12.5%",
        "caller buyers: rank market -> sheds",
        "caller buyers: max_staleness 5s -> 1500ms",
    };
    cr_assert(describeAll(compareConfigurations(loaded.value(), after)) == expected);
}

// Guards against callers reported as changed because a rank was inserted before theirs.
Test(ConfigurationDiffer, comparesRanksOfCallersByName)
{
    const auto loaded = loadExample("kavango");
    Configuration after = loaded.value();
    after.ranks.insert(after.ranks.begin(), { RankName("alarm"), 0.01, Milliseconds(100), 10, 4096 });
    for (CallerRule& caller : after.callers)
        ++caller.rank;
    const std::vector<std::string> expected {
        "ranks: order [border, sheds, market] -> [alarm, border, sheds, market]",
        "rank alarm: added",
    };
    cr_assert(describeAll(compareConfigurations(loaded.value(), after)) == expected);
}

// Guards against changes missing from the plan and against a plan that lists changes where there are none.
Test(ConfigurationDiffer, isEmptyExactlyWhenEncodingsAreEqual)
{
    cr_assert(rc::check("differences and encodings agree", [] {
        const Configuration before = generateConfiguration();
        const Configuration after = generateConfiguration();
        RC_ASSERT(compareConfigurations(before, before).empty());
        const bool hasSameEncoding = encodeConfiguration(before) == encodeConfiguration(after);
        RC_ASSERT(compareConfigurations(before, after).empty() == hasSameEncoding);
    }));
}

// Guards against a property that the comparison omits.
Test(ConfigurationDiffer, showsEachChangedProperty)
{
    const auto loaded = loadExample("limmidasmidjan");
    cr_assert(loaded.hasValue());
    const std::vector<std::function<void(Configuration&)>> changes {
        [](Configuration& c) { c.deployment = "x"; },
        [](Configuration& c) { c.failureDomains[0].region = RegionId("x"); },
        [](Configuration& c) { c.databases[0].endpoints[0].vm = VmId("x"); },
        [](Configuration& c) { c.databases[0].endpoints[0].failureDomain = c.failureDomains[1].id; },
        [](Configuration& c) { c.databases[0].endpoints[0].address = "1.2.3.4:5"; },
        [](Configuration& c) { c.databases[0].endpoints[0].slots += 1; },
        [](Configuration& c) { c.databases[0].endpoints[0].connections += 1; },
        [](Configuration& c) { c.databases[0].endpoints[0].openTime += Milliseconds(1); },
        [](Configuration& c) { c.ranks[1].floor += 0.0001; },
        [](Configuration& c) { c.ranks[1].deadline += Milliseconds(1); },
        [](Configuration& c) { c.ranks[1].queueRequests += 1; },
        [](Configuration& c) { c.ranks[1].queueBytes += 1; },
        [](Configuration& c) { c.callers[1].databases.pop_back(); },
        [](Configuration& c) { c.callers[1].readYourWrites = !c.callers[1].readYourWrites; },
        [](Configuration& c) { c.callers[1].maxStaleness += Milliseconds(1); },
    };
    for (std::size_t i = 0; i < changes.size(); ++i) {
        Configuration after = loaded.value();
        changes[i](after);
        cr_assert(compareConfigurations(loaded.value(), after).size() == 1, "change %zu", i);
    }
}

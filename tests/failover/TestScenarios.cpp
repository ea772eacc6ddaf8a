#include "FakeGroup.h"

#include <criterion/criterion.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <optional>

using namespace almondlever;
using namespace almondlever::test;

namespace {

/** Time by which the first primary must be known and confirm writes. */
constexpr Milliseconds warmUp { 1500 };
/** Longest write gap of docs/design.md 1.2 at the 99th percentile, used for every scenario with a single fault. */
constexpr long longestGap = 2000;

std::vector<std::string> namesOf(const YAML::Node& node)
{
    return node ? node.as<std::vector<std::string>>() : std::vector<std::string>();
}

Milliseconds timeOf(const YAML::Node& node) { return Milliseconds(node.as<long>()); }

MessageFault faultOf(const YAML::Node& step, MessageFault::Effect effect)
{
    MessageFault fault;
    fault.kind = step["message"].as<std::string>();
    fault.effect = effect;
    fault.count = step["count"].as<int>(1);
    fault.delay = Milliseconds(step["by_ms"].as<long>(0));
    return fault;
}

/** Carries out one step; returns false for an unknown one. */
bool carryOut(FakeGroup& group, const YAML::Node& step)
{
    const auto what = step["do"].as<std::string>();
    const std::vector<std::string> nodes = namesOf(step["nodes"]);
    if (what == "cut")
        group.cut(nodes, namesOf(step["from"]));
    else if (what == "heal")
        group.heal();
    else if (what == "latency")
        group.setLatency(timeOf(step["ms"]));
    else if (what == "loss")
        group.setLoss(step["share"].as<double>());
    else if (what == "lose")
        group.addFault(faultOf(step, MessageFault::Effect::Lose));
    else if (what == "delay")
        group.addFault(faultOf(step, MessageFault::Effect::Delay));
    else if (what == "double")
        group.addFault(faultOf(step, MessageFault::Effect::Double));
    else if (what == "crash_on" || what == "pause_on")
        group.addTrigger({ step["daemon"].as<std::string>(), step["action"].as<std::string>(), step["count"].as<int>(1),
            what == "crash_on" });
    else if (what == "leave")
        group.leave({ EndpointId(nodes.at(0)) });
    else if (what == "stay")
        group.leave({});
    else if (what != "crash" && what != "restart" && what != "pause" && what != "resume" && what != "lag")
        return false;
    for (const std::string& node : nodes) {
        if (what == "crash")
            group.crash(node);
        else if (what == "restart")
            group.restart(node);
        else if (what == "pause")
            group.pause(node);
        else if (what == "resume")
            group.resume(node);
        else if (what == "lag")
            group.lag(node, timeOf(step["ms"]));
    }
    return true;
}

/** Longest time without an acknowledgement between the warm-up and the end. */
long longestGapOf(const FakeGroup& group, Milliseconds end)
{
    Milliseconds last = warmUp;
    Milliseconds longest { 0 };
    for (const auto& [at, term] : group.acknowledgements()) {
        if (at < warmUp)
            continue;
        longest = std::max(longest, at - last);
        last = at;
    }
    return std::max(longest, end - last).count();
}

/** Time, since the start, of the first decision of a kind at or after the given time. */
std::optional<long> decisionAfter(const FakeGroup& group, long from, const std::string& kind)
{
    for (const Decision& decision : group.decisions()) {
        const long at = std::chrono::duration_cast<Milliseconds>(decision.at - group.start()).count();
        if (at >= from && decision.text.rfind(kind, 0) == 0)
            return at;
    }
    return std::nullopt;
}

/** Prints the duration of each step of the first change of primary after the fault. */
void printFigures(const FakeGroup& group, const std::string& name, long fault, Milliseconds end)
{
    std::printf("figures scenario=%s longest_gap_ms=%ld", name.c_str(), longestGapOf(group, end));
    long from = fault;
    const std::pair<const char*, const char*> stages[] = { { "detection", "suspect_primary" },
        { "agreement", "start_change" }, { "promises", "choose_primary" }, { "promotion", "primary_changed" } };
    for (const auto& [stage, kind] : stages) {
        const auto at = decisionAfter(group, from, kind);
        if (!at)
            break;
        std::printf(" %s_ms=%ld", stage, *at - from);
        from = *at;
    }
    for (const auto& [at, term] : group.acknowledgements()) {
        if (at.count() > from) {
            std::printf(" confirmation_ms=%ld total_ms=%ld", at.count() - from, at.count() - fault);
            break;
        }
    }
    std::printf("\n");
}

std::vector<std::string> checkExpectations(FakeGroup& group, const YAML::Node& scenario, std::size_t promotionsBefore)
{
    std::vector<std::string> failures = group.violations();
    const YAML::Node expect = scenario["expect"];
    const Milliseconds end = timeOf(scenario["end"]);
    const std::string primary = group.agreedPrimary();
    const auto allowed = namesOf(expect["primary"]);
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), primary) == allowed.end())
        failures.push_back("the agreed primary at the end is '" + primary + "'");
    const auto promotions = static_cast<long>(group.promotions() - promotionsBefore);
    if (promotions < expect["least_promotions"].as<long>(0))
        failures.push_back("only " + std::to_string(promotions) + " promotions");
    if (promotions > expect["most_promotions"].as<long>(1000))
        failures.push_back(std::to_string(promotions) + " promotions");
    const long gap = longestGapOf(group, end);
    const long bound = scenario["single_fault"].as<bool>(false) ? longestGap : expect["gap_ms"].as<long>(1000000);
    if (gap > bound)
        failures.push_back("write gap of " + std::to_string(gap) + " ms");
    if (expect["all_follow"].as<bool>(false)) {
        for (const std::string& stray : group.strayServers())
            failures.push_back(stray + " does not follow the primary");
    }
    if (group.hasPausedWrites())
        failures.emplace_back("writes are still paused");
    if (group.readsChecked() == 0 || group.acknowledgements().empty())
        failures.emplace_back("no statement was served");
    return failures;
}

std::vector<std::string> runScenario(const std::string& name, const YAML::Node& scenario)
{
    GroupOptions options;
    options.seed = scenario["seed"].as<std::uint32_t>();
    options.latency = Milliseconds(scenario["latency_ms"].as<long>(12));
    options.jitter = Milliseconds(scenario["jitter_ms"].as<long>(2));
    options.loss = scenario["loss"].as<double>(0);
    options.doubled = scenario["doubled"].as<double>(0);
    options.writeInterval = Milliseconds(scenario["write_every_ms"].as<long>(10));
    FakeGroup group(options);
    group.runUntil(warmUp);
    std::vector<std::string> failures;
    if (group.agreedPrimary().empty() || group.acknowledgements().empty())
        failures.emplace_back("no first primary serves writes after the warm-up");
    const std::size_t promotionsBefore = group.promotions();
    long fault = 0;
    for (const YAML::Node& step : scenario["steps"]) {
        group.runUntil(timeOf(step["at"]));
        fault = fault == 0 ? step["at"].as<long>() : fault;
        if (!carryOut(group, step))
            failures.push_back("unknown step " + step["do"].as<std::string>());
    }
    group.runUntil(timeOf(scenario["end"]));
    for (const std::string& failure : checkExpectations(group, scenario, promotionsBefore))
        failures.push_back(failure);
    if (std::getenv("ALMONDLEVER_FIGURES"))
        printFigures(group, name, fault, timeOf(scenario["end"]));
    if (!failures.empty() && std::getenv("ALMONDLEVER_DECISIONS")) {
        for (const Decision& decision : group.decisions())
            std::printf("%6ld %s %s\n",
                static_cast<long>(std::chrono::duration_cast<Milliseconds>(decision.at - group.start()).count()),
                decision.daemon.c_str(), decision.text.c_str());
    }
    return failures;
}

} // namespace

// Guards against faults of tests/scenarios that break the guarantee named in their scenario.
Test(Scenarios, keepTheirGuarantees)
{
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(ALMONDLEVER_SCENARIO_FOLDER))
        paths.push_back(entry.path());
    std::sort(paths.begin(), paths.end());
    const char* only = std::getenv("ALMONDLEVER_SCENARIO");
    std::size_t count = 0;
    for (const auto& path : paths) {
        if (path.extension() != ".yaml" || (only && path.stem() != only))
            continue;
        const YAML::Node scenario = YAML::LoadFile(path.string());
        const std::vector<std::string> failures = runScenario(path.stem().string(), scenario);
        const auto promise = scenario["promise"].as<std::string>();
        for (std::size_t place = 0; place < std::min<std::size_t>(failures.size(), 5); ++place)
            cr_expect_fail("%s (%s, seed %u): %s", path.stem().c_str(), promise.c_str(),
                scenario["seed"].as<std::uint32_t>(), failures[place].c_str());
        ++count;
    }
    cr_assert(only || count >= 25);
}

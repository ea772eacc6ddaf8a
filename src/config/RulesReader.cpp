#include "RulesReader.h"

#include "almondlever/config/ConfigurationLimits.h"

namespace almondlever {

namespace {

    /** Leaves room for at least one statement of typical size. */
    constexpr std::size_t minimumQueueBytes = 1024;

    RankEntry readRank(const YAML::Node& node, FindingSink& sink)
    {
        YamlMapReader reader(node, "rank", { "name", "floor", "deadline", "queue_requests", "queue_bytes" }, sink);
        RankEntry entry;
        entry.name = reader.name("name");
        entry.floor = reader.percentage("floor");
        entry.deadline = reader.duration("deadline", Milliseconds(1));
        entry.queueRequests = reader.count("queue_requests", { 1, maximumQueueRequests });
        entry.queueBytes = reader.byteSize("queue_bytes", { minimumQueueBytes, maximumQueueBytes });
        return entry;
    }

    CallerRuleEntry readCallerRule(const YAML::Node& node, FindingSink& sink)
    {
        YamlMapReader reader(node, "caller", { "name", "rank", "read_your_writes", "max_staleness" }, sink);
        CallerRuleEntry entry;
        entry.name = reader.name("name");
        entry.rank = reader.name("rank");
        entry.readYourWrites = reader.boolean("read_your_writes");
        entry.maxStaleness = reader.duration("max_staleness", Milliseconds(0));
        return entry;
    }

} // namespace

RulesEntries readRules(const std::string& text, FindingSink& sink)
{
    RulesEntries entries;
    const Located<YAML::Node> document = parseYaml(text, sink);
    if (!document.isValid)
        return entries;
    YamlMapReader reader(document.value, "rules", { "ranks", "callers" }, sink);
    const auto ranks = reader.list("ranks");
    entries.ranks = { {}, ranks.location, ranks.isValid };
    for (const YAML::Node& node : ranks.value)
        entries.ranks.value.push_back(readRank(node, sink));
    const auto callers = reader.list("callers");
    entries.callers = { {}, callers.location, callers.isValid };
    for (const YAML::Node& node : callers.value)
        entries.callers.value.push_back(readCallerRule(node, sink));
    return entries;
}

} // namespace almondlever

#include "almondlever/config/ConfigurationLoader.h"

#include "ConfigurationCheck.h"
#include "almondlever/config/ConfigurationOrder.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace almondlever {

namespace {

    DatabaseDescription convertDatabase(const DatabaseEntry& entry)
    {
        DatabaseDescription database;
        database.id = DatabaseId(entry.name.value);
        for (const EndpointEntry& endpoint : entry.endpoints.value) {
            database.endpoints.push_back({ EndpointId(endpoint.name.value), VmId(endpoint.vm.value),
                FailureDomainId(endpoint.failureDomain.value), endpoint.address.value, endpoint.slots.value,
                endpoint.connections.value, endpoint.openTime.value });
        }
        return database;
    }

    RankRule convertRank(const RankEntry& entry)
    {
        return { RankName(entry.name.value), entry.floor.value / 100, entry.deadline.value, entry.queueRequests.value,
            entry.queueBytes.value };
    }

    /** Maps names to indexes of entries; names must be unique. */
    template <typename Entry> std::map<std::string, std::size_t> indexByName(const std::vector<Entry>& entries)
    {
        std::map<std::string, std::size_t> indexes;
        for (std::size_t index = 0; index < entries.size(); ++index)
            indexes.emplace(entries[index].name.value, index);
        return indexes;
    }

    CallerRule convertCaller(const CallerEntry& entry, const CallerRuleEntry& rule, std::size_t rank)
    {
        CallerRule caller;
        caller.id = CallerId(entry.name.value);
        for (const Located<std::string>& database : entry.databases.value)
            caller.databases.emplace_back(database.value);
        caller.rank = rank;
        caller.readYourWrites = rule.readYourWrites.value;
        caller.maxStaleness = rule.maxStaleness.value;
        return caller;
    }

    /** Requires entries without findings: every value is valid and every reference resolves. */
    Configuration convert(const InventoryEntries& inventory, const RulesEntries& rules)
    {
        Configuration configuration;
        configuration.deployment = inventory.deployment.value;
        for (const FailureDomainEntry& domain : inventory.failureDomains.value)
            configuration.failureDomains.push_back(
                { FailureDomainId(domain.name.value), RegionId(domain.region.value) });
        for (const DatabaseEntry& database : inventory.databases.value)
            configuration.databases.push_back(convertDatabase(database));
        for (const RankEntry& rank : rules.ranks.value)
            configuration.ranks.push_back(convertRank(rank));
        const auto ranks = indexByName(rules.ranks.value);
        const auto callerRules = indexByName(rules.callers.value);
        for (const CallerEntry& caller : inventory.callers.value) {
            const CallerRuleEntry& rule = rules.callers.value[callerRules.at(caller.name.value)];
            configuration.callers.push_back(convertCaller(caller, rule, ranks.at(rule.rank.value)));
        }
        sortByName(configuration);
        return configuration;
    }

    void sortByLocation(Findings& findings)
    {
        std::stable_sort(findings.begin(), findings.end(), [](const Finding& left, const Finding& right) {
            return std::tie(left.line, left.column) < std::tie(right.line, right.column);
        });
    }

} // namespace

Result<Configuration, Findings> loadConfiguration(
    const ConfigurationSource& inventorySource, const ConfigurationSource& rulesSource)
{
    Findings findings;
    Findings rulesFindings;
    FindingSink inventorySink(inventorySource.file, findings);
    FindingSink rulesSink(rulesSource.file, rulesFindings);
    const InventoryEntries inventory = readInventory(inventorySource.text, inventorySink);
    const RulesEntries rules = readRules(rulesSource.text, rulesSink);
    checkInventory(inventory, inventorySink);
    checkRules(rules, rulesSink);
    checkCallersMatch(inventory, inventorySink, rules, rulesSink);
    sortByLocation(findings);
    sortByLocation(rulesFindings);
    findings.insert(findings.end(), rulesFindings.begin(), rulesFindings.end());
    if (!findings.empty())
        return findings;
    return convert(inventory, rules);
}

} // namespace almondlever

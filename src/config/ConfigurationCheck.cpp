#include "ConfigurationCheck.h"

#include "NearestWord.h"
#include "UnitParser.h"
#include "almondlever/config/ConfigurationLimits.h"

#include <fmt/format.h>
#include <map>
#include <set>

namespace almondlever {

namespace {

    /** Tolerates rounding errors when percentages such as 33.3 are summed. */
    constexpr double floorTolerance = 1e-9;

    /** Reports duplicate values with the line of their first use. */
    class UniquenessCheck {
    public:
        UniquenessCheck(std::string subject, std::string advice, FindingSink& sink)
            : subject_(std::move(subject))
            , advice_(std::move(advice))
            , sink_(sink)
        {
        }

        void add(const Located<std::string>& text)
        {
            if (!text.isValid)
                return;
            const auto [first, isNew] = locations_.emplace(text.value, text.location);
            if (!isNew)
                sink_.report(text.location,
                    fmt::format("{} '{}' is already used in line {}", subject_, text.value, first->second.line),
                    advice_);
        }

    private:
        std::string subject_;
        std::string advice_;
        FindingSink& sink_;
        std::map<std::string, SourceLocation> locations_;
    };

    /** Reports references to names that a list does not define. Accepts every name when the list could not be read. */
    class ReferenceCheck {
    public:
        ReferenceCheck(std::string subject, bool isListValid)
            : subject_(std::move(subject))
            , isListValid_(isListValid)
        {
        }

        void define(const Located<std::string>& name)
        {
            if (name.isValid && names_.insert(name.value).second)
                ordered_.push_back(name.value);
        }

        void check(const Located<std::string>& reference, FindingSink& sink) const
        {
            if (!reference.isValid || !isListValid_ || names_.count(reference.value) > 0)
                return;
            const std::string nearest = nearestWord(reference.value, ordered_);
            sink.report(reference.location, fmt::format("{} '{}' is not listed", subject_, reference.value),
                nearest.empty() ? "use one that is listed, or list it" : "did you mean '" + nearest + "'?");
        }

    private:
        std::string subject_;
        bool isListValid_;
        std::set<std::string> names_;
        std::vector<std::string> ordered_;
    };

    void checkEndpointSizes(const EndpointEntry& endpoint, FindingSink& sink)
    {
        if (!endpoint.slots.isValid || !endpoint.connections.isValid)
            return;
        const std::size_t minimum = endpoint.slots.value + controlReserveConnections;
        if (endpoint.connections.value >= minimum)
            return;
        sink.report(endpoint.connections.location,
            fmt::format("{} connections cannot serve {} slots, since {} are kept for control",
                endpoint.connections.value, endpoint.slots.value, controlReserveConnections),
            fmt::format("allow at least {} connections, or state fewer slots", minimum));
    }

    void checkMajority(const DatabaseEntry& database, FindingSink& sink)
    {
        if (!database.endpoints.isValid)
            return;
        const std::size_t size = database.endpoints.value.size();
        const std::string subject = fmt::format("database '{}'", database.name.value);
        if (size < minimumEndpointsPerDatabase)
            sink.report(database.location,
                fmt::format("{} has {} endpoint(s), too few for a majority after the loss of one", subject, size),
                "list an odd number of at least 3");
        else if (size % 2 == 0)
            sink.report(database.location, fmt::format("{} has an even number of endpoints ({})", subject, size),
                fmt::format(
                    "list {} or {}: an even number tolerates no more failures than one fewer", size - 1, size + 1));
        std::map<std::string, std::size_t> perDomain;
        for (const EndpointEntry& endpoint : database.endpoints.value) {
            if (endpoint.failureDomain.isValid)
                ++perDomain[endpoint.failureDomain.value];
        }
        for (const auto& [domain, count] : perDomain) {
            if (size < minimumEndpointsPerDatabase || count <= size / 2)
                continue;
            sink.report(database.location,
                fmt::format("{} has {} of its {} endpoints in failure domain '{}'", subject, count, size, domain),
                fmt::format("place at most {} there, so that a majority is left when it fails", (size - 1) / 2));
        }
    }

    /** Reports the excess at the first rank whose cumulative sum of floors exceeds 100 per cent. */
    void checkFloors(const RulesEntries& rules, FindingSink& sink)
    {
        double sum = 0;
        const RankEntry* exceeding = nullptr;
        for (const RankEntry& rank : rules.ranks.value) {
            sum += rank.floor.value;
            if (!exceeding && sum > 100 + floorTolerance)
                exceeding = &rank;
        }
        if (exceeding)
            sink.report(exceeding->floor.location, fmt::format("the floors of all ranks sum to {:.10g}%", sum),
                "lower them to at most 100% in all");
    }

    void checkRanksAreUsed(const RulesEntries& rules, FindingSink& sink)
    {
        if (!rules.callers.isValid)
            return;
        std::set<std::string> used;
        for (const CallerRuleEntry& caller : rules.callers.value)
            used.insert(caller.rank.value);
        for (const RankEntry& rank : rules.ranks.value) {
            if (rank.name.isValid && used.count(rank.name.value) == 0)
                sink.report(rank.name.location, fmt::format("no caller uses rank '{}'", rank.name.value),
                    "give it to a caller, or remove it");
        }
    }

    template <typename Entries, typename Others>
    void checkCounterparts(
        const Entries& entries, const Others& others, FindingSink& sink, const char* problem, const char* advice)
    {
        std::set<std::string> names;
        for (const auto& other : others)
            names.insert(other.name.value);
        for (const auto& entry : entries) {
            if (entry.name.isValid && names.count(entry.name.value) == 0)
                sink.report(entry.name.location, fmt::format("caller '{}' {}", entry.name.value, problem), advice);
        }
    }

} // namespace

void checkInventory(const InventoryEntries& inventory, FindingSink& sink)
{
    ReferenceCheck domains("failure domain", inventory.failureDomains.isValid);
    UniquenessCheck domainNames("failure domain", "give each its own name", sink);
    for (const FailureDomainEntry& domain : inventory.failureDomains.value) {
        domainNames.add(domain.name);
        domains.define(domain.name);
    }

    ReferenceCheck databases("database", inventory.databases.isValid);
    UniquenessCheck databaseNames("database", "give each its own name", sink);
    UniquenessCheck endpointNames("endpoint", "give each its own name, also across databases", sink);
    UniquenessCheck addresses("address", "give each endpoint its own address", sink);
    for (const DatabaseEntry& database : inventory.databases.value) {
        databaseNames.add(database.name);
        databases.define(database.name);
        for (const EndpointEntry& endpoint : database.endpoints.value) {
            endpointNames.add(endpoint.name);
            addresses.add(endpoint.address);
            domains.check(endpoint.failureDomain, sink);
            checkEndpointSizes(endpoint, sink);
        }
        checkMajority(database, sink);
    }

    UniquenessCheck callerNames("caller", "list each caller once", sink);
    for (const CallerEntry& caller : inventory.callers.value) {
        callerNames.add(caller.name);
        UniquenessCheck callerDatabases("database", "list each database of a caller once", sink);
        for (const Located<std::string>& database : caller.databases.value) {
            databases.check(database, sink);
            callerDatabases.add(database);
        }
    }
}

void checkRules(const RulesEntries& rules, FindingSink& sink)
{
    ReferenceCheck ranks("rank", rules.ranks.isValid);
    UniquenessCheck rankNames("rank", "give each its own name", sink);
    for (const RankEntry& rank : rules.ranks.value) {
        rankNames.add(rank.name);
        ranks.define(rank.name);
    }
    checkFloors(rules, sink);
    checkRanksAreUsed(rules, sink);

    UniquenessCheck callerNames("caller", "give each caller one set of rules", sink);
    for (const CallerRuleEntry& caller : rules.callers.value) {
        callerNames.add(caller.name);
        ranks.check(caller.rank, sink);
    }
}

void checkCallersMatch(
    const InventoryEntries& inventory, FindingSink& inventorySink, const RulesEntries& rules, FindingSink& rulesSink)
{
    if (!inventory.callers.isValid || !rules.callers.isValid)
        return;
    checkCounterparts(inventory.callers.value, rules.callers.value, inventorySink, "has no rules",
        "add it to the callers of the rules, or remove it here");
    checkCounterparts(rules.callers.value, inventory.callers.value, rulesSink, "is not in the inventory",
        "add it to the callers of the inventory, or remove its rules");
}

} // namespace almondlever

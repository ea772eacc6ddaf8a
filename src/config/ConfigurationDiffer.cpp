#include "almondlever/config/ConfigurationDiffer.h"

#include "UnitParser.h"

#include <algorithm>
#include <map>

namespace almondlever {

namespace {

    /** Property names and values of one subject, formatted with the units used in the configuration files. */
    using Properties = std::vector<std::pair<std::string, std::string>>;

    /** A configured item and its properties; items are compared in file order. */
    struct Subject {
        std::string name;
        Properties properties;
    };
    using Subjects = std::vector<Subject>;

    template <typename Element> std::string joinNames(const std::vector<Element>& names)
    {
        std::vector<std::string> sorted;
        sorted.reserve(names.size());
        for (const Element& name : names)
            sorted.push_back(name.text());
        std::sort(sorted.begin(), sorted.end());
        std::string text;
        for (const std::string& name : sorted)
            text += (text.empty() ? "" : ", ") + name;
        return "[" + text + "]";
    }

    std::string rankName(const Configuration& configuration, std::size_t rank)
    {
        return rank < configuration.ranks.size() ? configuration.ranks[rank].name.text() : std::string("none");
    }

    std::string rankOrder(const Configuration& configuration)
    {
        std::string text;
        for (const RankRule& rank : configuration.ranks)
            text += (text.empty() ? "" : ", ") + rank.name.text();
        return "[" + text + "]";
    }

    Subject describeEndpoint(const DatabaseDescription& database, const EndpointDescription& endpoint)
    {
        return { "endpoint " + endpoint.id.text(),
            { { "database", database.id.text() }, { "vm", endpoint.vm.text() },
                { "failure_domain", endpoint.failureDomain.text() }, { "address", endpoint.address },
                { "slots", std::to_string(endpoint.slots) }, { "connections", std::to_string(endpoint.connections) },
                { "open_time", formatDuration(endpoint.openTime) } } };
    }

    Subject describeRank(const RankRule& rank)
    {
        return { "rank " + rank.name.text(),
            { { "floor", formatShare(rank.floor) }, { "deadline", formatDuration(rank.deadline) },
                { "queue_requests", std::to_string(rank.queueRequests) },
                { "queue_bytes", formatByteSize(rank.queueBytes) } } };
    }

    Subject describeCaller(const Configuration& configuration, const CallerRule& caller)
    {
        return { "caller " + caller.id.text(),
            { { "databases", joinNames(caller.databases) }, { "rank", rankName(configuration, caller.rank) },
                { "read_your_writes", caller.readYourWrites ? "true" : "false" },
                { "max_staleness", formatDuration(caller.maxStaleness) } } };
    }

    Subjects describeAll(const Configuration& configuration)
    {
        Subjects subjects;
        subjects.push_back({ "deployment", { { "name", configuration.deployment } } });
        for (const FailureDomain& domain : configuration.failureDomains)
            subjects.push_back({ "failure domain " + domain.id.text(), { { "region", domain.region.text() } } });
        for (const DatabaseDescription& database : configuration.databases) {
            subjects.push_back({ "database " + database.id.text(), {} });
            for (const EndpointDescription& endpoint : database.endpoints)
                subjects.push_back(describeEndpoint(database, endpoint));
        }
        subjects.push_back({ "ranks", { { "order", rankOrder(configuration) } } });
        for (const RankRule& rank : configuration.ranks)
            subjects.push_back(describeRank(rank));
        for (const CallerRule& caller : configuration.callers)
            subjects.push_back(describeCaller(configuration, caller));
        return subjects;
    }

    std::map<std::string, const Subject*> indexByName(const Subjects& subjects)
    {
        std::map<std::string, const Subject*> index;
        for (const Subject& subject : subjects)
            index.emplace(subject.name, &subject);
        return index;
    }

    void compareProperties(const Subject& before, const Subject& after, ConfigurationChanges& changes)
    {
        for (std::size_t i = 0; i < after.properties.size(); ++i) {
            const auto& [name, value] = after.properties[i];
            if (before.properties[i].second != value)
                changes.push_back(
                    { ConfigurationChange::Kind::Changed, after.name, name, before.properties[i].second, value });
        }
    }

} // namespace

std::string describe(const ConfigurationChange& change)
{
    switch (change.kind) {
    case ConfigurationChange::Kind::Added:
        return change.subject + ": added";
    case ConfigurationChange::Kind::Removed:
        return change.subject + ": removed";
    case ConfigurationChange::Kind::Changed:
        break;
    }
    return change.subject + ": " + change.property + " " + change.before + " -> " + change.after;
}

ConfigurationChanges compareConfigurations(const Configuration& before, const Configuration& after)
{
    const Subjects oldSubjects = describeAll(before);
    const Subjects newSubjects = describeAll(after);
    const auto oldIndex = indexByName(oldSubjects);
    const auto newIndex = indexByName(newSubjects);
    ConfigurationChanges changes;
    for (const Subject& subject : oldSubjects) {
        if (newIndex.count(subject.name) == 0)
            changes.push_back({ ConfigurationChange::Kind::Removed, subject.name, {}, {}, {} });
    }
    for (const Subject& subject : newSubjects) {
        const auto old = oldIndex.find(subject.name);
        if (old == oldIndex.end())
            changes.push_back({ ConfigurationChange::Kind::Added, subject.name, {}, {}, {} });
        else
            compareProperties(*old->second, subject, changes);
    }
    return changes;
}

} // namespace almondlever

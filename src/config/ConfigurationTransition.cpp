#include "almondlever/config/ConfigurationTransition.h"

#include <set>

namespace almondlever {

namespace {

    std::set<EndpointId> serversOf(const DatabaseDescription& database)
    {
        std::set<EndpointId> servers;
        for (const EndpointDescription& endpoint : database.endpoints)
            servers.insert(endpoint.id);
        return servers;
    }

} // namespace

Findings findUnsafeChanges(const Configuration& before, const Configuration& after)
{
    Findings findings;
    for (const DatabaseDescription& database : before.databases) {
        const DatabaseDescription* next = after.findDatabase(database.id);
        if (!next || serversOf(database) == serversOf(*next))
            continue;
        findings.push_back({ "inventory.yaml", 0, 0,
            "the servers of database '" + database.id.text() + "' differ from those in force",
            "keep the names of the servers; give a replaced server the name and a copy of the data of the old one" });
    }
    return findings;
}

} // namespace almondlever

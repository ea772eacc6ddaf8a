#include "almondlever/config/ConfigurationCodec.h"

#include "JsonReader.h"
#include "almondlever/config/ConfigurationLimits.h"
#include "almondlever/config/ConfigurationOrder.h"

#include <set>
#include <stdexcept>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    /** Incremented when the meaning of a member changes; decoders reject unknown format versions. */
    constexpr std::uint64_t formatVersion = 1;

    Json encodeEndpoint(const EndpointDescription& endpoint)
    {
        return { { "name", endpoint.id.text() }, { "vm", endpoint.vm.text() },
            { "failure_domain", endpoint.failureDomain.text() }, { "address", endpoint.address },
            { "slots", endpoint.slots }, { "connections", endpoint.connections },
            { "open_time_ms", endpoint.openTime.count() } };
    }

    Json encodeDatabase(const DatabaseDescription& database)
    {
        Json endpoints = Json::array();
        for (const EndpointDescription& endpoint : database.endpoints)
            endpoints.push_back(encodeEndpoint(endpoint));
        return { { "name", database.id.text() }, { "endpoints", std::move(endpoints) } };
    }

    Json encodeRank(const RankRule& rank)
    {
        return { { "name", rank.name.text() }, { "floor", rank.floor }, { "deadline_ms", rank.deadline.count() },
            { "queue_requests", rank.queueRequests }, { "queue_bytes", rank.queueBytes } };
    }

    Json encodeCaller(const CallerRule& caller)
    {
        Json databases = Json::array();
        for (const DatabaseId& database : caller.databases)
            databases.push_back(database.text());
        return { { "name", caller.id.text() }, { "rank", caller.rank }, { "databases", std::move(databases) },
            { "read_your_writes", caller.readYourWrites }, { "max_staleness_ms", caller.maxStaleness.count() } };
    }

    Milliseconds readTime(const Json& object, const char* key)
    {
        return Milliseconds(readUnsigned(object, key, static_cast<std::uint64_t>(maximumRuleTime.count())));
    }

    EndpointDescription decodeEndpoint(const Json& object)
    {
        EndpointDescription endpoint;
        endpoint.id = EndpointId(readText(object, "name"));
        endpoint.vm = VmId(readText(object, "vm"));
        endpoint.failureDomain = FailureDomainId(readText(object, "failure_domain"));
        endpoint.address = readText(object, "address");
        endpoint.slots = readUnsigned(object, "slots", maximumSlots);
        endpoint.connections = readUnsigned(object, "connections", maximumConnections);
        endpoint.openTime = readTime(object, "open_time_ms");
        return endpoint;
    }

    DatabaseDescription decodeDatabase(const Json& object)
    {
        DatabaseDescription database;
        database.id = DatabaseId(readText(object, "name"));
        for (const Json& endpoint : readList(object, "endpoints"))
            database.endpoints.push_back(decodeEndpoint(endpoint));
        return database;
    }

    RankRule decodeRank(const Json& object)
    {
        RankRule rank;
        rank.name = RankName(readText(object, "name"));
        rank.floor = readShare(object, "floor");
        rank.deadline = readTime(object, "deadline_ms");
        rank.queueRequests = readUnsigned(object, "queue_requests", maximumQueueRequests);
        rank.queueBytes = readUnsigned(object, "queue_bytes", maximumQueueBytes);
        return rank;
    }

    CallerRule decodeCaller(const Json& object)
    {
        CallerRule caller;
        caller.id = CallerId(readText(object, "name"));
        caller.rank = readUnsigned(object, "rank", SIZE_MAX);
        for (const Json& database : readList(object, "databases")) {
            if (!database.is_string())
                throw std::invalid_argument("a database of caller '" + caller.id.text() + "' is not a string");
            caller.databases.emplace_back(database.get<std::string>());
        }
        caller.readYourWrites = readBoolean(object, "read_your_writes");
        caller.maxStaleness = readTime(object, "max_staleness_ms");
        return caller;
    }

    void validateReferences(const Configuration& configuration)
    {
        std::set<FailureDomainId> domains;
        for (const FailureDomain& domain : configuration.failureDomains)
            domains.insert(domain.id);
        std::set<DatabaseId> databases;
        for (const DatabaseDescription& database : configuration.databases) {
            databases.insert(database.id);
            for (const EndpointDescription& endpoint : database.endpoints) {
                if (domains.count(endpoint.failureDomain) == 0)
                    throw std::invalid_argument("endpoint '" + endpoint.id.text() + "' has an unknown failure domain");
            }
        }
        for (const CallerRule& caller : configuration.callers) {
            if (caller.rank >= configuration.ranks.size())
                throw std::invalid_argument("caller '" + caller.id.text() + "' has an unknown rank");
            for (const DatabaseId& database : caller.databases) {
                if (databases.count(database) == 0)
                    throw std::invalid_argument("caller '" + caller.id.text() + "' has an unknown database");
            }
        }
    }

    Configuration decodeDocument(const Json& document)
    {
        if (readUnsigned(document, "format", UINT64_MAX) != formatVersion)
            throw std::invalid_argument("the format version is not supported by this build");
        Configuration configuration;
        configuration.deployment = readText(document, "deployment");
        for (const Json& domain : readList(document, "failure_domains"))
            configuration.failureDomains.push_back(
                { FailureDomainId(readText(domain, "name")), RegionId(readText(domain, "region")) });
        for (const Json& database : readList(document, "databases"))
            configuration.databases.push_back(decodeDatabase(database));
        for (const Json& rank : readList(document, "ranks"))
            configuration.ranks.push_back(decodeRank(rank));
        for (const Json& caller : readList(document, "callers"))
            configuration.callers.push_back(decodeCaller(caller));
        validateReferences(configuration);
        return configuration;
    }

} // namespace

std::string encodeConfiguration(const Configuration& original)
{
    Configuration configuration = original;
    sortByName(configuration);
    Json document { { "format", formatVersion }, { "deployment", configuration.deployment },
        { "failure_domains", Json::array() }, { "databases", Json::array() }, { "ranks", Json::array() },
        { "callers", Json::array() } };
    for (const FailureDomain& domain : configuration.failureDomains)
        document["failure_domains"].push_back({ { "name", domain.id.text() }, { "region", domain.region.text() } });
    for (const DatabaseDescription& database : configuration.databases)
        document["databases"].push_back(encodeDatabase(database));
    for (const RankRule& rank : configuration.ranks)
        document["ranks"].push_back(encodeRank(rank));
    for (const CallerRule& caller : configuration.callers)
        document["callers"].push_back(encodeCaller(caller));
    return writeJson(document);
}

Result<Configuration, std::string> decodeConfiguration(const std::string& bytes, std::uint64_t version)
{
    try {
        Configuration configuration = decodeDocument(Json::parse(bytes));
        configuration.version = version;
        return configuration;
    } catch (const std::exception& error) {
        return std::string("configuration cannot be read: ") + error.what();
    }
}

} // namespace almondlever

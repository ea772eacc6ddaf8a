#include "InventoryReader.h"

#include "almondlever/config/ConfigurationLimits.h"

#include <array>
#include <charconv>

namespace almondlever {

namespace {

    /** Parses a number without sign or leading zeros, so that each address has only one textual form. */
    bool readNumber(const char*& position, const char* end, unsigned maximum)
    {
        const char* begin = position;
        unsigned number = 0;
        const auto parsed = std::from_chars(begin, end, number);
        if (parsed.ec != std::errc() || number > maximum)
            return false;
        const bool hasLeadingZero = *begin == '0' && parsed.ptr - begin > 1;
        position = parsed.ptr;
        return !hasLeadingZero;
    }

    bool isIpv4AddressWithPort(const std::string& text)
    {
        constexpr std::array<char, 4> separators { '.', '.', '.', ':' };
        constexpr unsigned maximumByte = 255;
        constexpr unsigned maximumPort = 65535;
        const char* position = text.data();
        const char* end = position + text.size();
        for (const char separator : separators) {
            if (!readNumber(position, end, maximumByte) || position == end || *position != separator)
                return false;
            ++position;
        }
        const bool isPort = position != end && *position != '0' && readNumber(position, end, maximumPort);
        return isPort && position == end;
    }

    Located<std::string> readAddress(YamlMapReader& reader, FindingSink& sink)
    {
        Located<std::string> address = reader.text("address");
        if (!address.isValid || isIpv4AddressWithPort(address.value))
            return address;
        sink.report(address.location, "'address' is not an IP number with a port",
            "write it as ip:port, for example 10.0.0.7:5432");
        address.isValid = false;
        return address;
    }

    FailureDomainEntry readFailureDomain(const YAML::Node& node, FindingSink& sink)
    {
        YamlMapReader reader(node, "failure domain", { "name", "region" }, sink);
        return { reader.name("name"), reader.name("region") };
    }

    EndpointEntry readEndpoint(const YAML::Node& node, FindingSink& sink)
    {
        YamlMapReader reader(
            node, "endpoint", { "name", "vm", "failure_domain", "address", "slots", "connections", "open_time" }, sink);
        EndpointEntry entry;
        entry.location = reader.location();
        entry.name = reader.name("name");
        entry.vm = reader.name("vm");
        entry.failureDomain = reader.name("failure_domain");
        entry.address = readAddress(reader, sink);
        entry.slots = reader.count("slots", { 1, maximumSlots });
        entry.connections = reader.count("connections", { 1, maximumConnections });
        entry.openTime = reader.duration("open_time", Milliseconds(1));
        return entry;
    }

    DatabaseEntry readDatabase(const YAML::Node& node, FindingSink& sink)
    {
        YamlMapReader reader(node, "database", { "name", "endpoints" }, sink);
        DatabaseEntry entry;
        entry.location = reader.location();
        entry.name = reader.name("name");
        const auto endpoints = reader.list("endpoints");
        entry.endpoints.isValid = endpoints.isValid;
        entry.endpoints.location = endpoints.location;
        for (const YAML::Node& endpoint : endpoints.value)
            entry.endpoints.value.push_back(readEndpoint(endpoint, sink));
        return entry;
    }

    CallerEntry readCaller(const YAML::Node& node, FindingSink& sink)
    {
        YamlMapReader reader(node, "caller", { "name", "databases" }, sink);
        return { reader.name("name"), reader.nameList("databases") };
    }

    template <typename Entry>
    Located<std::vector<Entry>> readList(YamlMapReader& reader, const std::string& key, FindingSink& sink,
        Entry (*readEntry)(const YAML::Node&, FindingSink&))
    {
        const auto nodes = reader.list(key);
        Located<std::vector<Entry>> entries { {}, nodes.location, nodes.isValid };
        for (const YAML::Node& node : nodes.value)
            entries.value.push_back(readEntry(node, sink));
        return entries;
    }

} // namespace

InventoryEntries readInventory(const std::string& text, FindingSink& sink)
{
    InventoryEntries entries;
    const Located<YAML::Node> document = parseYaml(text, sink);
    if (!document.isValid)
        return entries;
    YamlMapReader reader(
        document.value, "inventory", { "deployment", "failure_domains", "databases", "callers" }, sink);
    entries.deployment = reader.name("deployment");
    entries.failureDomains = readList(reader, "failure_domains", sink, readFailureDomain);
    entries.databases = readList(reader, "databases", sink, readDatabase);
    entries.callers = readList(reader, "callers", sink, readCaller);
    return entries;
}

} // namespace almondlever

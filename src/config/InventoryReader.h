#pragma once

#include "YamlReader.h"

namespace almondlever {

/** One failure domain as written in the inventory. */
struct FailureDomainEntry {
    Located<std::string> name;
    Located<std::string> region;
};

/** One endpoint as written in the inventory. */
struct EndpointEntry {
    SourceLocation location;
    Located<std::string> name;
    Located<std::string> vm;
    Located<std::string> failureDomain;
    Located<std::string> address;
    Located<std::size_t> slots;
    Located<std::size_t> connections;
    Located<Milliseconds> openTime;
};

/** One database as written in the inventory. */
struct DatabaseEntry {
    SourceLocation location;
    Located<std::string> name;
    Located<std::vector<EndpointEntry>> endpoints;
};

/** One caller as written in the inventory. */
struct CallerEntry {
    Located<std::string> name;
    Located<std::vector<Located<std::string>>> databases;
};

/** The parsed inventory with the source location of each value. A list that could not be read is not valid. */
struct InventoryEntries {
    Located<std::string> deployment;
    Located<std::vector<FailureDomainEntry>> failureDomains;
    Located<std::vector<DatabaseEntry>> databases;
    Located<std::vector<CallerEntry>> callers;
};

/** Parses the inventory and reports every value that is invalid on its own. */
InventoryEntries readInventory(const std::string& text, FindingSink&);

} // namespace almondlever

#pragma once

#include "YamlReader.h"

namespace almondlever {

/** One failure domain as written in the inventory. */
struct FailureDomainEntry {
    Placed<std::string> name;
    Placed<std::string> region;
};

/** One endpoint as written in the inventory. */
struct EndpointEntry {
    Place place;
    Placed<std::string> name;
    Placed<std::string> vm;
    Placed<std::string> failureDomain;
    Placed<std::string> address;
    Placed<std::size_t> slots;
    Placed<std::size_t> connections;
    Placed<Milliseconds> openTime;
};

/** One database as written in the inventory. */
struct DatabaseEntry {
    Place place;
    Placed<std::string> name;
    Placed<std::vector<EndpointEntry>> endpoints;
};

/** One caller as written in the inventory. */
struct CallerEntry {
    Placed<std::string> name;
    Placed<std::vector<Placed<std::string>>> databases;
};

/** The inventory with the place of each value. A list that could not be read is not valid. */
struct InventoryEntries {
    Placed<std::string> deployment;
    Placed<std::vector<FailureDomainEntry>> failureDomains;
    Placed<std::vector<DatabaseEntry>> databases;
    Placed<std::vector<CallerEntry>> callers;
};

/** Reads the inventory; every fault that shows in a single value is reported. */
InventoryEntries readInventory(const std::string& text, FindingSink&);

} // namespace almondlever

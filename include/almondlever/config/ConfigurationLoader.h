#pragma once

#include "almondlever/common/Finding.h"
#include "almondlever/common/Result.h"
#include "almondlever/config/Configuration.h"

#include <string>

namespace almondlever {

/** Path and content of a configuration file. Findings refer to the path. */
struct ConfigurationSource {
    std::string file;
    std::string text;
};

/**
 * Parses and validates an inventory and its rules, both in YAML. Returns either a configuration of version 0 whose
 * lists, except the ranks, are sorted by name, or all findings of both files ordered by file and location. Does not
 * throw on malformed input.
 */
Result<Configuration, Findings> loadConfiguration(
    const ConfigurationSource& inventory, const ConfigurationSource& rules);

} // namespace almondlever

#pragma once

#include "almondlever/common/Finding.h"
#include "almondlever/common/Result.h"
#include "almondlever/config/Configuration.h"

#include <string>

namespace almondlever {

/** A file as read: its path, which findings name, and its bytes. */
struct ConfigurationSource {
    std::string file;
    std::string text;
};

/**
 * Reads and checks an inventory and its rules, both YAML. Gives either a configuration of version 0 whose lists, apart
 * from the ranks, are sorted by name, or all findings of both files ordered by file and place. Never throws on foreign
 * bytes.
 */
Result<Configuration, Findings> loadConfiguration(
    const ConfigurationSource& inventory, const ConfigurationSource& rules);

} // namespace almondlever

#pragma once

#include "almondlever/config/Configuration.h"

#include <string>
#include <vector>

namespace almondlever {

/** One difference between two configurations. */
struct ConfigurationChange {
    enum class Kind {
        Added,
        Removed,
        Changed,
    };
    Kind kind = Kind::Changed;
    /** What differs, for example "caller buyers". */
    std::string subject;
    /** The property that differs, for example "max_staleness"; empty when the subject was added or removed. */
    std::string property;
    /** Old and new value of the property, formatted with the units used in the configuration files. */
    std::string before;
    std::string after;
};

using ConfigurationChanges = std::vector<ConfigurationChange>;

/** Formats a change as one line, for example "caller buyers: max_staleness 2s -> 5s" or "caller buyers: added". */
std::string describe(const ConfigurationChange&);

/**
 * Lists the differences: removals first, then additions and changes in file order. Empty if and only if both have the
 * same canonical encoding; versions and the order of lists sorted by name are not compared.
 *
 * @see encodeConfiguration
 */
ConfigurationChanges compareConfigurations(const Configuration& before, const Configuration& after);

} // namespace almondlever

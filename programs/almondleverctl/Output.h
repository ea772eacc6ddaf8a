#pragma once

#include "almondlever/common/Finding.h"
#include "almondlever/config/ConfigurationDiffer.h"
#include "almondlever/config/ConfigurationParts.h"

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>

namespace almondlever {

/** {"findings": [{"file", "line", "column", "problem", "advice"}]} */
nlohmann::json toJson(const Findings&);

/** [{"subject", "change": "added"|"removed"|"changed", "property", "before", "after"}] */
nlohmann::json toJson(const ConfigurationChanges&);

/** Prints one line per finding, then their number. */
void printFindings(const Findings&, std::ostream&);

/** Prints one indented line per change, or "no changes". */
void printChanges(const ConfigurationChanges&, std::ostream&);

/** "version 3 by NAME at 2026-12-04T03:12:49Z" */
std::string describe(const ConfigurationRelease&);

/** Prints objects and arrays as indented lines "key: value". */
void printReadable(const nlohmann::json&, std::ostream&);

/** Serializes a document with indentation; invalid UTF-8 is replaced. */
std::string formatJson(const nlohmann::json&);

} // namespace almondlever

#pragma once

#include "InventoryReader.h"
#include "RulesReader.h"

namespace almondlever {

/** Reports inconsistencies between values of the inventory. */
void checkInventory(const InventoryEntries&, FindingSink&);

/** Reports inconsistencies between values of the rules. */
void checkRules(const RulesEntries&, FindingSink&);

/** Reports callers that appear in only one of the two files. Skipped when either list of callers could not be read. */
void checkCallersMatch(
    const InventoryEntries&, FindingSink& inventorySink, const RulesEntries&, FindingSink& rulesSink);

} // namespace almondlever

#pragma once

#include "InventoryReader.h"
#include "RulesReader.h"

namespace almondlever {

/** Reports faults that show only when several values of the inventory are taken together. */
void checkInventory(const InventoryEntries&, FindingSink&);

/** Reports faults that show only when several values of the rules are taken together. */
void checkRules(const RulesEntries&, FindingSink&);

/** Reports callers that appear in only one of the two files. Skipped for a list that could not be read. */
void checkCallersMatch(
    const InventoryEntries&, FindingSink& inventorySink, const RulesEntries&, FindingSink& rulesSink);

} // namespace almondlever

#pragma once

#include "ConfigurationStoreServices.h"

namespace almondlever {

/** Deletes the parts that findGarbageParts names. A part that cannot be deleted is left for the next run. */
void collectParts(const StoreServices&, ConfigurationStore::CollectCallback);

} // namespace almondlever

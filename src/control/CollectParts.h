#pragma once

#include "ConfigurationStoreServices.h"

namespace almondlever {

/** Deletes the parts that findGarbageParts names. A part that cannot be deleted is left to a later collection. */
void collectParts(const StoreServices&, ConfigurationStore::CollectCallback);

} // namespace almondlever

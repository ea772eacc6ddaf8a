#pragma once

#include "ConfigurationStoreServices.h"

namespace almondlever {

/** Writes the parts of a release, then switches the head to it if the head still has the expected revision. */
void applyRelease(
    const StoreServices&, PreparedRelease, std::uint64_t expectedHeadRevision, ConfigurationStore::ApplyCallback);

} // namespace almondlever

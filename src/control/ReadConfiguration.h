#pragma once

#include "ConfigurationStoreServices.h"

namespace almondlever {

/** Reads the head of the newest configuration, then its parts; starts over if a part was deleted meanwhile. */
void readConfiguration(const StoreServices&, ConfigurationStore::ReadCallback);

/** Like readConfiguration, with a head that was already read. */
void readConfigurationFrom(const StoreServices&, const VersionedValue& head, ConfigurationStore::ReadCallback);

} // namespace almondlever

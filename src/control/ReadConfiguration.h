#pragma once

#include "ConfigurationStoreServices.h"

namespace almondlever {

/** Reads the newest configuration: the head, then its parts; starts again when a part was collected meanwhile. */
void readConfiguration(const StoreServices&, ConfigurationStore::ReadCallback);

/** As readConfiguration, from a head that was already read. */
void readConfigurationFrom(const StoreServices&, const VersionedValue& head, ConfigurationStore::ReadCallback);

} // namespace almondlever

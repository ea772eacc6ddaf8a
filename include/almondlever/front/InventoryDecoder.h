#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/groups/EndpointEntry.h"
#include "almondlever/sessions/Routing.h"
#include "almondlever/store/MetadataStore.h"

#include <string>

namespace almondlever {

/** Decodes what operators and endpoints write into the platform's store. Errors say what is wrong with the item. */
class InventoryDecoder {
public:
    virtual ~InventoryDecoder() = default;

    /** Returns the prefix of the keys that hold the operator's configuration. */
    virtual std::string configurationPrefix() const = 0;
    /** Returns the prefix of the keys that hold the endpoint entries. */
    virtual std::string endpointPrefix() const = 0;
    virtual Result<RoutingConfiguration, std::string> decodeConfiguration(const StoreItem&) const = 0;
    virtual Result<EndpointEntry, std::string> decodeEndpoint(const StoreItem&) const = 0;
    /** Returns the id of the endpoint that a key belongs to. */
    virtual EndpointId endpointOf(const std::string& key) const = 0;
};

} // namespace almondlever

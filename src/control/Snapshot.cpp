#include "almondlever/control/Snapshot.h"

namespace almondlever {

VmId OwnerTable::ownerOf(const EndpointId& endpoint) const
{
    const auto found = owners.find(endpoint);
    return found == owners.end() ? VmId() : found->second;
}

const EndpointDescription* Snapshot::findEndpoint(const DatabaseId& databaseId, const EndpointId& endpointId) const
{
    const DatabaseDescription* database = configuration ? configuration->findDatabase(databaseId) : nullptr;
    if (!database)
        return nullptr;
    for (const EndpointDescription& endpoint : database->endpoints) {
        if (endpoint.id == endpointId)
            return &endpoint;
    }
    return nullptr;
}

const PrimaryView* Snapshot::findPrimary(const DatabaseId& database) const
{
    const auto found = primaries.find(database);
    return found == primaries.end() ? nullptr : &found->second;
}

} // namespace almondlever

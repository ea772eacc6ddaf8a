#pragma once

#include "CborWriter.h"
#include "almondlever/wire/Messages.h"

#include <type_traits>

namespace almondlever {

/** True for the messages about the platform's store, which are encoded in StoreMessages.cpp. */
template <typename Type>
inline constexpr bool isStoreMessage
    = std::is_same_v<Type,
          StoreUpdateRequest> || std::is_same_v<Type, StoreUpdate> || std::is_same_v<Type, StorePartRequest> || std::is_same_v<Type, StorePart>;

void writeStoreMessage(nlohmann::json& map, const StoreUpdateRequest&);
void writeStoreMessage(nlohmann::json& map, const StoreUpdate&);
void writeStoreMessage(nlohmann::json& map, const StorePartRequest&);
void writeStoreMessage(nlohmann::json& map, const StorePart&);

StoreUpdateRequest readStoreUpdateRequest(CborReader&);
StoreUpdate readStoreUpdate(CborReader&);
StorePartRequest readStorePartRequest(CborReader&);
StorePart readStorePart(CborReader&);

} // namespace almondlever

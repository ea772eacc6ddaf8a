#pragma once

#include "MapWriter.h"
#include "almondlever/wire/Messages.h"

#include <type_traits>

namespace almondlever {

/** Messages about the platform's store, which have a source of their own. */
template <typename Type>
inline constexpr bool isStoreMessage = std::is_same_v<Type, StoreNewsRequest> || std::is_same_v<Type, StoreNews>;

void writeStoreMessage(nlohmann::json& map, const StoreNewsRequest&);
void writeStoreMessage(nlohmann::json& map, const StoreNews&);

StoreNewsRequest readStoreNewsRequest(CborReader&);
StoreNews readStoreNews(CborReader&);

} // namespace almondlever

#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/store/MetadataStore.h"

#include <string>
#include <vector>

namespace almondlever {

/** Encodes items as CBOR and compresses them (zlib format, RFC 1950). Leases are left out. */
std::string packStoreItems(const std::vector<StoreItem>&);

/** Reverts packStoreItems(); the error says what is malformed. Refuses more than 32 MiB of unpacked bytes. */
Result<std::vector<StoreItem>, std::string> unpackStoreItems(const std::string& packed);

} // namespace almondlever

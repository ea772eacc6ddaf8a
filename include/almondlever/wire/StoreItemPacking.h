#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/store/MetadataStore.h"

#include <string>
#include <vector>

namespace almondlever {

/**
 * Encodes items and compresses them (zlib format, RFC 1950): the length of the header (4 bytes, most significant
 * first), the header (CBOR: key, length of the value, revision, deletion for each item), and the values one after the
 * other. Leases are left out.
 */
std::string packStoreItems(const std::vector<StoreItem>&);

/** Reverts packStoreItems(); the error says what is malformed. Refuses more than 32 MiB of unpacked bytes. */
Result<std::vector<StoreItem>, std::string> unpackStoreItems(const std::string& packed);

} // namespace almondlever

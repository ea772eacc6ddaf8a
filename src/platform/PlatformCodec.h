#pragma once

#include "almondlever/platform/KeyValueService.h"
#include "almondlever/platform/VmList.h"
#include "almondlever/transport/HttpMessage.h"

#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Escapes a query value; letters, digits and "-._~" stay. Some parsers refuse a bare slash. */
std::string escapeQueryValue(const std::string&);

/** Reads the answer to a read or watch of one key. */
KeyValueResult<std::optional<VersionedValue>> decodeGetAnswer(const HttpResult&);

/** Reads the answer to a change. An answer that cannot be read counts as none, since the change may have taken effect.
 */
KeyValueResult<std::uint64_t> decodeWriteAnswer(const HttpResult&);

/** Reads the list of keys. */
KeyValueResult<std::vector<std::string>> decodeKeyList(const HttpResult&);

/** Reads the VM list; the error says why there is none. */
Result<std::vector<VmListEntry>, std::string> decodeVmList(const HttpResult&);

} // namespace almondlever

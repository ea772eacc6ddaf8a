#pragma once

#include "almondlever/platform/KeyValueService.h"
#include "almondlever/platform/VmList.h"
#include "almondlever/transport/HttpMessage.h"

#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Percent-encodes a query value except for letters, digits and "-._~". Some parsers reject an unescaped slash. */
std::string escapeQueryValue(const std::string&);

/** Decodes the response to a read or watch of one key. */
KeyValueResult<std::optional<VersionedValue>> decodeGetAnswer(const HttpResult&);

/** Decodes the response to a change. A malformed response is reported as NoAnswer, as the change may have taken effect.
 */
KeyValueResult<std::uint64_t> decodeWriteAnswer(const HttpResult&);

/** Decodes a list of keys. */
KeyValueResult<std::vector<std::string>> decodeKeyList(const HttpResult&);

/** Decodes the VM list; on failure returns the reason. */
Result<std::vector<VmListEntry>, std::string> decodeVmList(const HttpResult&);

} // namespace almondlever

#pragma once

#include "almondlever/platform/KeyValueService.h"
#include "almondlever/platform/VmList.h"
#include "almondlever/transport/HttpMessage.h"

#include <memory>

namespace asio {
class io_context;
}

namespace almondlever {

/**
 * The key-value service over HTTP. Runs on the thread of the io_context; callbacks of requests in flight are called
 * with an error when the adapter is destroyed. An empty VM id leaves out the header that names the asking VM.
 *
 * @see docs/PLATFORM_CONTRACT.md
 */
std::unique_ptr<KeyValueService> makeHttpKeyValueService(asio::io_context&, HttpAddress, VmId ownVm);

/** The VM list over HTTP, under the same conditions as the key-value service. */
std::unique_ptr<VmList> makeHttpVmList(asio::io_context&, HttpAddress, VmId ownVm);

} // namespace almondlever

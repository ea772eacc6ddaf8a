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
 * Creates a client of the key-value service over HTTP. It runs on the thread of the io_context; when it is destroyed,
 * the callbacks of requests in flight are called with an error. With an empty VM id, requests are sent without the
 * header that names the requesting VM.
 *
 * @see docs/PLATFORM_CONTRACT.md
 */
std::unique_ptr<KeyValueService> makeHttpKeyValueService(asio::io_context&, HttpAddress, VmId ownVm);

/** Creates a client of the VM list over HTTP; threads, callbacks and VM id as for makeHttpKeyValueService. */
std::unique_ptr<VmList> makeHttpVmList(asio::io_context&, HttpAddress, VmId ownVm);

} // namespace almondlever

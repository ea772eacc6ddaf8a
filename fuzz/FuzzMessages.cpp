#include "almondlever/wire/Messages.h"
#include "wire/Handshake.h"

#include <cstdint>
#include <cstdlib>

/**
 * libFuzzer target of everything that reads bytes from a peer. A message that is accepted must be the same after it was
 * encoded and read again. Built with -DALMONDLEVER_BUILD_FUZZERS=ON by clang.
 */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT: name set by libFuzzer
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    (void)almondlever::decodeHello(bytes);
    (void)almondlever::decodeHelloProof(bytes);
    const auto message = almondlever::decodeMessage(bytes);
    if (!message)
        return 0;
    const std::string encoded = almondlever::encodeMessage(message.value());
    const auto again = almondlever::decodeMessage(encoded);
    if (!again || almondlever::encodeMessage(again.value()) != encoded)
        std::abort();
    return 0;
}

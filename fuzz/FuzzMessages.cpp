#include "almondlever/wire/Messages.h"
#include "almondlever/wire/StoreItemPacking.h"
#include "wire/Handshake.h"

#include <cstdint>
#include <cstdlib>

/**
 * libFuzzer target of all decoders of peer input. An accepted message must be unchanged after encoding and decoding.
 * Built with -DALMONDLEVER_BUILD_FUZZERS=ON by clang.
 */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT: name set by libFuzzer
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    (void)almondlever::decodeHello(bytes);
    (void)almondlever::decodeHelloProof(bytes);
    (void)almondlever::unpackStoreItems(bytes);
    const auto message = almondlever::decodeMessage(bytes);
    if (!message)
        return 0;
    const std::string encoded = almondlever::encodeMessage(message.value());
    const auto again = almondlever::decodeMessage(encoded);
    if (!again || almondlever::encodeMessage(again.value()) != encoded)
        std::abort();
    return 0;
}

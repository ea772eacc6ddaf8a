// libFuzzer target: no input may crash the decoder, and an accepted token must be unchanged when encoded again.
#include "almondlever/consistency/SessionToken.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace almondlever;
    static const SessionTokenCodec codec("fuzz");
    const std::string token(reinterpret_cast<const char*>(data), size);
    const auto decoded = codec.decode(token);
    if (decoded.hasValue() && codec.encode(decoded.value()) != token)
        std::abort();
    return 0;
}

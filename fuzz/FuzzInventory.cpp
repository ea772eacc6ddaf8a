#include "almondlever/config/ConfigurationCodec.h"
#include "almondlever/config/ConfigurationLoader.h"

#include <cstdlib>

using namespace almondlever;

/**
 * libFuzzer target of the configuration loader, with inventory and rules separated by the first zero byte, and of the
 * decoder. An accepted configuration must be unchanged after encoding and decoding.
 */
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    const std::size_t separator = bytes.find('\0');
    const std::string inventory = bytes.substr(0, separator);
    const std::string rules = separator == std::string::npos ? std::string() : bytes.substr(separator + 1);
    const auto loaded = loadConfiguration({ "inventory.yaml", inventory }, { "rules.yaml", rules });
    if (loaded) {
        const std::string encoded = encodeConfiguration(loaded.value());
        const auto decoded = decodeConfiguration(encoded, 1);
        if (!decoded || encodeConfiguration(decoded.value()) != encoded)
            std::abort();
    }
    static_cast<void>(decodeConfiguration(bytes, 1));
    return 0;
}

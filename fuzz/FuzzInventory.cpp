#include "almondlever/config/ConfigurationCodec.h"
#include "almondlever/config/ConfigurationLoader.h"

#include <cstdlib>

using namespace almondlever;

/**
 * Feeds foreign bytes to the loader, as inventory and rules divided by the first zero byte, and to the decoder. An
 * accepted configuration must survive encoding and decoding.
 */
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    const std::size_t cut = bytes.find('\0');
    const std::string inventory = bytes.substr(0, cut);
    const std::string rules = cut == std::string::npos ? std::string() : bytes.substr(cut + 1);
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

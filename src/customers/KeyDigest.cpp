#include "almondlever/customers/KeyDigest.h"

#include <cassert>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace almondlever {

KeyDigest KeyDigest::of(std::string_view key)
{
    KeyDigest digest;
    unsigned int length = 0;
    const int isDone = EVP_Digest(key.data(), key.size(), digest.bytes_.data(), &length, EVP_sha256(), nullptr);
    assert(isDone == 1 && length == size);
    (void)isDone;
    return digest;
}

std::uint64_t KeyDigest::prefix() const
{
    std::uint64_t value = 0;
    std::memcpy(&value, bytes_.data(), sizeof(value));
    return value;
}

bool operator==(const KeyDigest& left, const KeyDigest& right)
{
    return CRYPTO_memcmp(left.bytes_.data(), right.bytes_.data(), left.bytes_.size()) == 0;
}

} // namespace almondlever

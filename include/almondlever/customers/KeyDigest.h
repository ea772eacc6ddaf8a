#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace almondlever {

/** SHA-256 digest of an API key. Keys are kept only in this form, so that no log line or page can show one. */
class KeyDigest {
public:
    /** The digest of no key; equals no other digest. */
    KeyDigest() = default;

    static KeyDigest of(std::string_view key);

    bool isEmpty() const { return bytes_ == Bytes {}; }
    /** First eight bytes, for use as a hash value. */
    std::uint64_t prefix() const;

    /** Compares in constant time. */
    friend bool operator==(const KeyDigest& left, const KeyDigest& right);
    friend bool operator!=(const KeyDigest& left, const KeyDigest& right) { return !(left == right); }

private:
    static constexpr std::size_t size = 32;
    using Bytes = std::array<unsigned char, size>;

    Bytes bytes_ {};
};

} // namespace almondlever

#include "almondlever/consistency/SessionToken.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdint>
#include <optional>
#include <vector>

namespace almondlever {

namespace {

    // Layout of the decoded token: version, key name, length of the CBOR, CBOR, signature of all preceding bytes.
    constexpr unsigned char formatVersion = 1;
    constexpr std::size_t keyNameBytes = 4;
    constexpr std::size_t lengthBytes = 2;
    constexpr std::size_t headerBytes = 1 + keyNameBytes + lengthBytes;
    constexpr std::size_t signatureBytes = 32;

    struct MacDeleter {
        void operator()(EVP_MAC* mac) const { EVP_MAC_free(mac); }
        void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
    };

    std::string encodeBase64Url(const std::string& bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(&text[0]),
            reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(length));
        while (!text.empty() && text.back() == '=')
            text.pop_back();
        std::replace(text.begin(), text.end(), '+', '-');
        std::replace(text.begin(), text.end(), '/', '_');
        return text;
    }

    std::optional<std::string> decodeBase64Url(const std::string& text)
    {
        std::string padded = text;
        std::replace(padded.begin(), padded.end(), '-', '+');
        std::replace(padded.begin(), padded.end(), '_', '/');
        const std::size_t padding = (4 - padded.size() % 4) % 4;
        padded.append(padding, '=');
        std::string bytes(padded.size() / 4 * 3 + 1, '\0');
        const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(&bytes[0]),
            reinterpret_cast<const unsigned char*>(padded.data()), static_cast<int>(padded.size()));
        if (length < 0 || static_cast<std::size_t>(length) < padding)
            return std::nullopt;
        bytes.resize(static_cast<std::size_t>(length) - padding);
        // EVP_DecodeBlock skips white space and ignores unused bits. Only the canonical encoding is accepted.
        if (encodeBase64Url(bytes) != text)
            return std::nullopt;
        return bytes;
    }

    std::string toCbor(const SessionState& state)
    {
        nlohmann::json positions = nlohmann::json::object();
        for (const auto& [database, position] : state.positions)
            positions[database.text()] = { position.term, position.index };
        const nlohmann::json document { { "p", positions }, { "t", state.isTruncated } };
        const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(document);
        return std::string(bytes.begin(), bytes.end());
    }

    std::optional<SessionState> fromCbor(const std::string& bytes)
    {
        const nlohmann::json document = nlohmann::json::from_cbor(bytes, true, false);
        if (!document.is_object() || document.size() != 2)
            return std::nullopt;
        const auto positions = document.find("p");
        const auto truncated = document.find("t");
        if (positions == document.end() || !positions->is_object() || positions->size() > maximumTokenDatabases)
            return std::nullopt;
        if (truncated == document.end() || !truncated->is_boolean())
            return std::nullopt;
        SessionState state;
        state.isTruncated = truncated->get<bool>();
        for (const auto& [database, position] : positions->items()) {
            if (!position.is_array() || position.size() != 2 || !position[0].is_number_unsigned()
                || !position[1].is_number_unsigned())
                return std::nullopt;
            state.positions[DatabaseId(database)]
                = { position[0].get<std::uint64_t>(), position[1].get<std::uint64_t>() };
        }
        return state;
    }

    void dropLowest(SessionState& state, const DatabaseId* kept)
    {
        auto lowest = state.positions.end();
        for (auto entry = state.positions.begin(); entry != state.positions.end(); ++entry) {
            if (kept && entry->first == *kept)
                continue;
            if (lowest == state.positions.end() || entry->second < lowest->second)
                lowest = entry;
        }
        if (lowest != state.positions.end())
            state.positions.erase(lowest);
        state.isTruncated = true;
    }

    std::size_t textLength(std::size_t bytes) { return (bytes * 4 + 2) / 3; }

} // namespace

/** HMAC-SHA-256 under one key. The context is reused, since fetching the algorithm costs more than signing a token. */
class SessionTokenCodec::Signer {
public:
    explicit Signer(const std::string& key)
        : mac_(EVP_MAC_fetch(nullptr, "HMAC", nullptr))
        , context_(EVP_MAC_CTX_new(mac_.get()))
    {
        std::string digest = "SHA256";
        const std::array<OSSL_PARAM, 2> parameters { OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0),
            OSSL_PARAM_construct_end() };
        const auto* bytes = reinterpret_cast<const unsigned char*>(key.data());
        const int isReady = EVP_MAC_init(context_.get(), bytes, key.size(), parameters.data());
        assert(isReady == 1);
        (void)isReady;
    }

    std::string sign(const char* text, std::size_t size) const
    {
        std::string digest(signatureBytes, '\0');
        std::size_t length = 0;
        // Without a key argument the context is reset and keeps its key.
        const bool isSigned = EVP_MAC_init(context_.get(), nullptr, 0, nullptr) == 1
            && EVP_MAC_update(context_.get(), reinterpret_cast<const unsigned char*>(text), size) == 1
            && EVP_MAC_final(context_.get(), reinterpret_cast<unsigned char*>(&digest[0]), &length, digest.size()) == 1;
        assert(isSigned && length == signatureBytes);
        (void)isSigned;
        return digest;
    }
    std::string sign(const std::string& text) const { return sign(text.data(), text.size()); }

private:
    std::unique_ptr<EVP_MAC, MacDeleter> mac_;
    std::unique_ptr<EVP_MAC_CTX, MacDeleter> context_;
};

void SessionState::observe(const DatabaseId& database, LogPosition position)
{
    LogPosition& known = positions[database];
    known = std::max(known, position);
    while (positions.size() > maximumTokenDatabases)
        dropLowest(*this, &database);
}

const char* toText(TokenError error)
{
    switch (error) {
    case TokenError::Oversized:
        return "The session token is longer than any that this system issues.";
    case TokenError::Truncated:
        return "The session token is incomplete.";
    case TokenError::OtherCluster:
        return "The session token was issued by another cluster.";
    case TokenError::BadSignature:
        return "The signature of the session token does not match its content.";
    case TokenError::Malformed:
        break;
    }
    return "The session token is malformed.";
}

SessionTokenCodec::SessionTokenCodec(const std::string& clusterKey)
{
    const Signer derivation(clusterKey);
    signer_ = std::make_unique<Signer>(derivation.sign("almondlever session token 1: signing key"));
    keyName_ = derivation.sign("almondlever session token 1: key name").substr(0, keyNameBytes);
}

SessionTokenCodec::~SessionTokenCodec() = default;

std::string SessionTokenCodec::encode(const SessionState& state) const
{
    SessionState kept = state;
    std::string content = toCbor(kept);
    while (kept.positions.size() > maximumTokenDatabases
        || textLength(headerBytes + content.size() + signatureBytes) > maximumTokenBytes) {
        assert(!kept.positions.empty());
        dropLowest(kept, nullptr);
        content = toCbor(kept);
    }
    std::string bytes(1, static_cast<char>(formatVersion));
    bytes += keyName_;
    bytes += static_cast<char>(content.size() >> 8U);
    bytes += static_cast<char>(content.size() & 0xffU);
    bytes += content;
    bytes += signer_->sign(bytes);
    return encodeBase64Url(bytes);
}

Result<SessionState, TokenError> SessionTokenCodec::decode(const std::string& token) const
{
    if (token.size() > maximumTokenBytes)
        return TokenError::Oversized;
    const std::optional<std::string> decoded = decodeBase64Url(token);
    if (!decoded)
        return TokenError::Malformed;
    const std::string& bytes = *decoded;
    if (!bytes.empty() && static_cast<unsigned char>(bytes[0]) != formatVersion)
        return TokenError::Malformed;
    if (bytes.size() < headerBytes + signatureBytes)
        return TokenError::Truncated;
    const auto lengthAt
        = [&](std::size_t offset) { return static_cast<std::size_t>(static_cast<unsigned char>(bytes[offset])); };
    const std::size_t contentBytes = lengthAt(headerBytes - 2) * 256 + lengthAt(headerBytes - 1);
    const std::size_t signedBytes = headerBytes + contentBytes;
    if (bytes.size() < signedBytes + signatureBytes)
        return TokenError::Truncated;
    if (bytes.size() > signedBytes + signatureBytes)
        return TokenError::Malformed;
    if (bytes.compare(1, keyNameBytes, keyName_) != 0)
        return TokenError::OtherCluster;
    const std::string expected = signer_->sign(bytes.data(), signedBytes);
    if (CRYPTO_memcmp(expected.data(), bytes.data() + signedBytes, signatureBytes) != 0)
        return TokenError::BadSignature;
    const std::optional<SessionState> state = fromCbor(bytes.substr(headerBytes, contentBytes));
    if (!state)
        return TokenError::Malformed;
    return *state;
}

} // namespace almondlever

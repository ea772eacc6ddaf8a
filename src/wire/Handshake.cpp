#include "Handshake.h"

#include "CborReader.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned helloType = 100;
    constexpr unsigned helloProofType = 101;

    /** A Hello contains three names and a nonce; larger messages are refused before they are parsed. */
    constexpr std::size_t maximumHandshakeBytes = 2048;

    /** Separates the handshake key from other keys derived from the cluster key. */
    constexpr const char* derivationLabel = "almondlever peer handshake 1";

    std::string hmacSha256(const std::string& key, const std::string& text)
    {
        std::string digest(EVP_MAX_MD_SIZE, '\0');
        unsigned length = 0;
        const auto* result = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(text.data()), text.size(),
            reinterpret_cast<unsigned char*>(digest.data()), &length);
        if (result == nullptr)
            std::abort();
        digest.resize(length);
        return digest;
    }

    /** The length prefix makes the concatenation of fields unambiguous. */
    std::string withLength(const std::string& field) { return std::to_string(field.size()) + ':' + field; }

    Json parseHandshake(const std::string& bytes)
    {
        return bytes.size() > maximumHandshakeBytes ? Json(Json::value_t::discarded) : parseCbor(bytes);
    }

} // namespace

Hello makeHello(const PeerIdentity& self)
{
    std::string nonce(nonceBytes, '\0');
    // A predictable nonce would allow replays, so the process aborts when the random generator fails.
    if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size())) != 1)
        std::abort();
    return { self, nonce };
}

std::string encodeHello(const Hello& hello)
{
    const Json map = { { "v", static_cast<unsigned>(wireVersion) }, { "t", helloType },
        { "id", hello.identity.id.text() }, { "fd", hello.identity.failureDomain.text() },
        { "ad", hello.identity.address }, { "n", Json::binary({ hello.nonce.begin(), hello.nonce.end() }) } };
    std::string bytes;
    Json::to_cbor(map, bytes);
    return bytes;
}

Result<Hello, std::string> decodeHello(const std::string& bytes)
{
    const Json map = parseHandshake(bytes);
    CborReader reader(map);
    if (reader.number("t") != helloType)
        return std::string("message is no Hello");
    if (reader.number("v") != static_cast<std::uint64_t>(wireVersion))
        return "peer has wire version " + std::to_string(reader.number("v"));
    Hello hello;
    hello.identity.id = reader.identifier<VmId>("id");
    hello.identity.failureDomain = reader.identifier<FailureDomainId>("fd");
    hello.identity.address = reader.text("ad", maximumNameBytes);
    hello.nonce = reader.bytes("n");
    if (hello.identity.id.isEmpty() || hello.nonce.size() != nonceBytes)
        reader.fail("id", "is empty or the nonce has a wrong length");
    if (!reader.firstError().empty())
        return reader.firstError();
    return hello;
}

std::string encodeHelloProof(const std::string& proof)
{
    const Json map = { { "v", static_cast<unsigned>(wireVersion) }, { "t", helloProofType },
        { "m", Json::binary({ proof.begin(), proof.end() }) } };
    std::string bytes;
    Json::to_cbor(map, bytes);
    return bytes;
}

std::optional<std::string> decodeHelloProof(const std::string& bytes)
{
    const Json map = parseHandshake(bytes);
    CborReader reader(map);
    const bool isProof = reader.number("t") == helloProofType
        && reader.number("v") == static_cast<std::uint64_t>(wireVersion) && reader.has("m");
    std::string proof = reader.bytes("m");
    if (!isProof || !reader.firstError().empty())
        return std::nullopt;
    return proof;
}

HandshakeKey::HandshakeKey(const std::string& clusterKey)
    : key_(hmacSha256(clusterKey, derivationLabel))
{
}

std::string HandshakeKey::computeProof(
    ChannelEnd sender, const std::string& diallerHello, const std::string& acceptorHello) const
{
    const std::string end = sender == ChannelEnd::Dialler ? "dialler" : "acceptor";
    return hmacSha256(key_, withLength(end) + withLength(diallerHello) + withLength(acceptorHello));
}

bool isEqualInConstantTime(const std::string& left, const std::string& right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace almondlever

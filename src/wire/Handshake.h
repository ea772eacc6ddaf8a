#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/wire/PeerNetwork.h"

#include <optional>
#include <string>

namespace almondlever {

/** Number of random bytes in a nonce. */
inline constexpr std::size_t nonceBytes = 32;

/** First message on a channel, sent by both sides. */
struct Hello {
    PeerIdentity identity;
    /** Random for each channel, so that a recorded proof cannot be replayed on another one. */
    std::string nonce;
};

/** The end of a channel that computes a proof. Part of the proof, so that a proof cannot be reflected to its sender. */
enum class ChannelEnd {
    Dialler,
    Acceptor,
};

/** A Hello with a new random nonce. */
Hello makeHello(const PeerIdentity& self);

std::string encodeHello(const Hello&);
/** Decodes a Hello; the error says what is malformed, or that the peer has another wire version. Never throws. */
Result<Hello, std::string> decodeHello(const std::string& bytes);

std::string encodeHelloProof(const std::string& proof);
/** Extracts the proof from a HelloProof; nullopt when the message is malformed or of another type. Never throws. */
std::optional<std::string> decodeHelloProof(const std::string& bytes);

/** Key derived from the cluster key; computes the proofs that a daemon knows the cluster key. */
class HandshakeKey {
public:
    explicit HandshakeKey(const std::string& clusterKey);

    /**
     * HMAC-SHA-256 over the sender's end of the channel and both encoded Hello messages, hence over both nonces, ids,
     * failure domains and addresses.
     */
    std::string computeProof(
        ChannelEnd sender, const std::string& diallerHello, const std::string& acceptorHello) const;

private:
    std::string key_;
};

/** Compares in a time that does not depend on where the strings differ, to prevent timing attacks. */
bool isEqualInConstantTime(const std::string& left, const std::string& right);

} // namespace almondlever

#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Result.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace almondlever {

/** Longest token text accepted or made. */
inline constexpr std::size_t maximumTokenBytes = 4096;

/** Databases that one token tells apart; a session that uses more reads the others from the primary. */
inline constexpr std::size_t maximumTokenDatabases = 48;

/** What a session has seen, by database. */
struct SessionState {
    std::map<DatabaseId, LogPosition> positions;
    /** True when positions were dropped to keep the token bounded: reads of unlisted databases need the primary. */
    bool isTruncated = false;

    /** Raises the position of a database; never lowers it. Drops the lowest other position beyond the bound. */
    void observe(const DatabaseId&, LogPosition);
};

enum class TokenError {
    Oversized,
    /** Not base64url, of an unknown version, or with unexpected content. */
    Malformed,
    /** Shorter than the length that the token states. */
    Truncated,
    /** Made under another cluster key. */
    OtherCluster,
    /** Changed or forged. */
    BadSignature,
};

/** A sentence for the caller. */
const char* toText(TokenError);

/**
 * Writes and reads session tokens: base64url of CBOR, signed with HMAC-SHA-256 under a key derived from the cluster
 * key. Used by one thread at a time.
 */
class SessionTokenCodec {
public:
    explicit SessionTokenCodec(const std::string& clusterKey);
    ~SessionTokenCodec();
    SessionTokenCodec(const SessionTokenCodec&) = delete;
    SessionTokenCodec& operator=(const SessionTokenCodec&) = delete;

    /** The token; drops the lowest positions, and marks the state as truncated, when it would exceed the bound. */
    std::string encode(const SessionState&) const;
    Result<SessionState, TokenError> decode(const std::string& token) const;

private:
    class Signer;

    std::unique_ptr<Signer> signer_;
    std::string keyName_;
};

} // namespace almondlever

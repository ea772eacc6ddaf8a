#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Result.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace almondlever {

/** Maximum length of a token that is accepted or issued. */
inline constexpr std::size_t maximumTokenBytes = 4096;

/** Maximum number of databases in a token. A session that uses more reads the others from the primary. */
inline constexpr std::size_t maximumTokenDatabases = 48;

/** The log positions that a session has observed, by database. */
struct SessionState {
    std::map<DatabaseId, LogPosition> positions;
    /** True if positions were dropped to limit the token size: reads of unlisted databases need the primary. */
    bool isTruncated = false;

    /** Raises the position of a database and never lowers it. Drops the lowest other position above the limit. */
    void observe(const DatabaseId&, LogPosition);
};

enum class TokenError {
    Oversized,
    /** Not base64url, of an unknown version, or with unexpected content. */
    Malformed,
    /** Shorter than the length that the token states. */
    Truncated,
    /** Signed with another cluster key. */
    OtherCluster,
    /** Modified or forged. */
    BadSignature,
};

/** Returns an error message for the caller. */
const char* toText(TokenError);

/**
 * Encodes and decodes session tokens: CBOR, signed with HMAC-SHA-256 under a key derived from the cluster key, as
 * base64url. Not thread-safe.
 */
class SessionTokenCodec {
public:
    explicit SessionTokenCodec(const std::string& clusterKey);
    ~SessionTokenCodec();
    SessionTokenCodec(const SessionTokenCodec&) = delete;
    SessionTokenCodec& operator=(const SessionTokenCodec&) = delete;

    /** Returns the token. If it would be too long, drops the lowest positions and marks the state as truncated. */
    std::string encode(const SessionState&) const;
    Result<SessionState, TokenError> decode(const std::string& token) const;

private:
    class Signer;

    std::unique_ptr<Signer> signer_;
    std::string keyName_;
};

} // namespace almondlever

#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/membership/Membership.h"

#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Bytes in each chunk of a configuration but the last. */
inline constexpr std::size_t configurationChunkBytes = 256 * 1024;

/** Largest configuration that is fetched from a peer. */
inline constexpr std::size_t maximumConfigurationBytes = 64 * 1024 * 1024;

/** Earlier versions for which a patch can be sent; a day has 3,500 changes at design size, so these span some 13
 * minutes. */
inline constexpr std::size_t maximumPatchBases = 32;

/** Sends a request for a chunk to a daemon. */
struct ConfigRequestAction {
    VmId to;
    std::string address;
    ConfigRequest request;
};

/** A complete configuration received from a peer; the caller validates it and answers with hold or reject. */
struct ReceivedConfiguration {
    std::uint64_t version = 0;
    std::string bytes;
    VmId from;
};

/**
 * Fetches newer configurations from peers, from one peer at a time, and serves the newest one held: as a patch when the
 * asking peer holds one of the last versions, else whole and chunk by chunk. A state machine without input or output.
 * The bytes are opaque. Never goes back to a lower version.
 */
class ConfigurationSpread {
public:
    /** A peer that sends no chunk for this long is given up for the next one heard of. */
    explicit ConfigurationSpread(Milliseconds replyTimeout = Milliseconds(1000));

    /** Takes over a validated configuration; ignored unless its version is higher than the held one. */
    void hold(std::uint64_t version, std::string bytes);
    /** The received configuration is not valid; its version is not fetched from that peer again. */
    void reject(std::uint64_t version, const VmId& from);
    std::uint64_t heldVersion() const { return heldVersion_; }

    /** A peer holds a version. */
    std::optional<ConfigRequestAction> onVersionHeard(const ConfigurationHolder&, TimePoint now);
    std::optional<ConfigRequestAction> onTick(TimePoint now);
    /** The channel to a peer broke. */
    std::optional<ConfigRequestAction> onPeerLost(const VmId&, TimePoint now);
    /** A chunk arrived; gives the next request until all chunks are there, which takeReceived then returns. */
    std::optional<ConfigRequestAction> onReply(const VmId& from, const ConfigReply&, TimePoint now);
    /** The complete configuration, once. */
    std::optional<ReceivedConfiguration> takeReceived();

    /** Answer to a peer; nullopt when no newer version than the peer's is held or the chunk does not exist. */
    std::optional<ConfigReply> onRequest(const ConfigRequest&) const;

private:
    struct Fetch {
        ConfigurationHolder holder;
        /** Version of the chunks collected so far; zero before the first. */
        std::uint64_t version = 0;
        std::size_t chunkCount = 0;
        std::size_t nextChunk = 0;
        std::string bytes;
        TimePoint askedAt;
        /** False once a patch from this peer did not give the right bytes. */
        bool acceptsPatch = true;
    };
    /** What the held version has in common with an earlier one. */
    struct PatchBase {
        std::uint64_t version = 0;
        std::size_t keptAtStart = 0;
        std::size_t keptAtEnd = 0;
    };

    std::optional<ConfigRequestAction> startFetch(TimePoint now);
    std::optional<ConfigRequestAction> giveUp(TimePoint now);
    ConfigRequestAction ask(TimePoint now);
    void rememberBase(const std::string& newBytes);
    std::optional<ConfigReply> makePatch(const ConfigRequest&) const;
    std::optional<ConfigRequestAction> onPatch(const VmId& from, const ConfigReply&, TimePoint now);
    bool isRejected(std::uint64_t version, const VmId& from) const;

    Milliseconds replyTimeout_;
    std::uint64_t heldVersion_ = 0;
    std::string heldBytes_;
    /** SHA-256 of the held bytes. */
    std::string heldHash_;
    std::vector<PatchBase> bases_;
    /** Peers known to hold a newer version, the ones to be asked first in front; bounded. */
    std::vector<ConfigurationHolder> holders_;
    std::vector<std::pair<std::uint64_t, VmId>> rejected_;
    std::optional<Fetch> fetch_;
    std::optional<ReceivedConfiguration> received_;
};

} // namespace almondlever

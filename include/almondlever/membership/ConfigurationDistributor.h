#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/membership/Membership.h"

#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Size of each chunk of a configuration except the last. */
inline constexpr std::size_t configurationChunkBytes = 256 * 1024;

/** Largest configuration that is fetched from a peer. */
inline constexpr std::size_t maximumConfigurationBytes = 64 * 1024 * 1024;

/**
 * Number of earlier versions from which a patch to the current one is kept. In the largest deployment that the design
 * covers, the configuration changes 3,500 times a day, so 32 versions cover about 13 minutes.
 */
inline constexpr std::size_t maximumPatchBases = 32;

/** A request for a chunk, to be sent to a daemon. */
struct ConfigRequestAction {
    VmId to;
    std::string address;
    ConfigRequest request;
};

/** A complete configuration received from a peer. The caller validates it and calls setCurrent or reject. */
struct ReceivedConfiguration {
    std::uint64_t version = 0;
    std::string bytes;
    VmId from;
};

/**
 * Fetches newer configurations from one peer at a time and serves the newest one held: as a patch if the requesting
 * peer holds one of the last versions, otherwise whole, chunk by chunk. This is a state machine without I/O. It does
 * not interpret the bytes and never returns to a lower version.
 */
class ConfigurationDistributor {
public:
    /** If a peer sends no chunk within the time-out, the fetch moves on to the next known peer. */
    explicit ConfigurationDistributor(Milliseconds replyTimeout = Milliseconds(1000));

    /** Stores a validated configuration. Ignored unless its version is higher than the current one. */
    void setCurrent(std::uint64_t version, std::string bytes);
    /** Reports a received configuration as invalid. Its version is not fetched from that peer again. */
    void reject(std::uint64_t version, const VmId& from);
    std::uint64_t currentVersion() const { return currentVersion_; }

    /** Called when a peer advertises the version that it holds. */
    std::optional<ConfigRequestAction> onVersionAdvertised(const ConfigurationHolder&, TimePoint now);
    /** Asks the next peer if the current one has timed out. */
    std::optional<ConfigRequestAction> onTick(TimePoint now);
    /** Called when the channel to a peer broke. */
    std::optional<ConfigRequestAction> onPeerLost(const VmId&, TimePoint now);
    /** Handles a chunk and returns the request for the next one. After the last chunk, use takeReceived. */
    std::optional<ConfigRequestAction> onReply(const VmId& from, const ConfigReply&, TimePoint now);
    /** Returns the configuration whose last chunk has arrived, and forgets it; nullopt if there is none. */
    std::optional<ReceivedConfiguration> takeReceived();

    /** Returns the reply to a peer, or nullopt if its version is not older than the current one or the chunk does not
     * exist. */
    std::optional<ConfigReply> onRequest(const ConfigRequest&) const;

private:
    struct Fetch {
        ConfigurationHolder holder;
        /** Version of the chunks received so far; 0 before the first. */
        std::uint64_t version = 0;
        std::size_t chunkCount = 0;
        std::size_t nextChunk = 0;
        std::string bytes;
        TimePoint requestedAt;
        /** False after a patch from this peer could not be applied or its result had a wrong hash. */
        bool acceptsPatch = true;
    };
    /** An earlier version and the lengths of the prefix and suffix that it shares with the current one. */
    struct PatchBase {
        std::uint64_t version = 0;
        std::size_t keptAtStart = 0;
        std::size_t keptAtEnd = 0;
    };

    std::optional<ConfigRequestAction> startFetch(TimePoint now);
    std::optional<ConfigRequestAction> tryNextPeer(TimePoint now);
    ConfigRequestAction requestChunk(TimePoint now);
    void addPatchBase(const std::string& newBytes);
    std::optional<ConfigReply> makePatch(const ConfigRequest&) const;
    std::optional<ConfigRequestAction> onPatch(const VmId& from, const ConfigReply&, TimePoint now);
    bool isRejected(std::uint64_t version, const VmId& from) const;

    Milliseconds replyTimeout_;
    std::uint64_t currentVersion_ = 0;
    std::string currentBytes_;
    /** SHA-256 of currentBytes_. */
    std::string currentHash_;
    std::vector<PatchBase> patchBases_;
    /** Peers known to hold a newer version, in the order in which they were first heard of; at most 16. */
    std::vector<ConfigurationHolder> holders_;
    std::vector<std::pair<std::uint64_t, VmId>> rejected_;
    std::optional<Fetch> fetch_;
    std::optional<ReceivedConfiguration> received_;
};

} // namespace almondlever

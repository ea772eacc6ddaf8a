#pragma once

#include "almondlever/common/Result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Key of the one head document, which names the parts of the newest configuration. */
inline constexpr const char* configurationHeadKey = "almondlever/config/head";

/** Prefix of the keys of all parts. */
inline constexpr const char* configurationPartPrefix = "almondlever/config/parts/";

/** Largest part; half of what the key-value service holds in one value, so that encodings of the value fit too. */
inline constexpr std::size_t maximumPartBytes = 512 * 1024;

/** Wall-clock time that operators read; never used in decisions between processes. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/**
 * Names a stored part: "<prefix><version>/<SHA-256>". The version is the one that an apply tried to reach when it wrote
 * the part. Collection deletes only parts of versions up to the head's, so it cannot delete the parts of an apply that
 * is still to switch the head.
 */
struct PartReference {
    /** Lower-case hexadecimal SHA-256 of the content. */
    std::string sha256;
    std::uint64_t version = 0;

    std::string key() const;
};

/** One version of the configuration as the head names it. */
struct ConfigurationRelease {
    std::uint64_t version = 0;
    /** Unique to one apply; tells after a lost answer whether that apply took effect. */
    std::string applyId;
    std::string author;
    WallTime appliedAt {};
    std::vector<PartReference> parts;
};

/** The head document. */
struct ConfigurationHead {
    ConfigurationRelease current;
    /** Earlier releases whose parts are still kept, newest first. */
    std::vector<ConfigurationRelease> previous;

    /** The release that an apply produced, or null when it is not the current one nor among those kept. */
    const ConfigurationRelease* findApply(const std::string& applyId) const;
    /** The release of that version, or null when it is not the current one nor among those kept. */
    const ConfigurationRelease* findVersion(std::uint64_t version) const;
};

/** A part that is to be written before the head. */
struct ConfigurationPart {
    PartReference reference;
    std::string content;
};

/** A head with the parts that it needs and that are not stored yet. */
struct PreparedRelease {
    ConfigurationHead head;
    std::vector<ConfigurationPart> newParts;
};

/** Who applies, when, and under which unique id. */
struct ApplyDetails {
    std::string applyId;
    /** Cut to 256 bytes; "unknown" when empty. */
    std::string author;
    WallTime appliedAt {};
};

/** Lower-case hexadecimal SHA-256. */
std::string hashContent(const std::string& content);

/** Cuts into contents of at most maximumPartBytes; at least one. */
std::vector<std::string> splitIntoParts(const std::string& bytes);

/** Why stored parts do not form a configuration. */
struct PartsFault {
    std::string detail;
};

/** Puts parts together; the error names the first whose content does not have the hash of its reference. */
Result<std::string, PartsFault> joinParts(const std::vector<PartReference>&, const std::vector<std::string>& contents);

/**
 * Prepares the release that follows the given head, or version 1 without one. Parts of the current release are reused.
 * Earlier releases are kept when they are among the newest three or were replaced within the last ten minutes, at most
 * 32 of them.
 */
PreparedRelease prepareRelease(
    const std::string& configurationBytes, const std::optional<ConfigurationHead>&, const ApplyDetails&);

std::string encodeHead(const ConfigurationHead&);
/** Reads a head; the error says what is malformed. Never throws on foreign bytes. */
Result<ConfigurationHead, std::string> decodeHead(const std::string& bytes);

/**
 * The keys among the stored ones that no release in the head uses and that no apply still to come can use. Keys that
 * are not the key of a part are left alone.
 */
std::vector<std::string> findGarbageParts(const std::vector<std::string>& storedKeys, const ConfigurationHead&);

} // namespace almondlever

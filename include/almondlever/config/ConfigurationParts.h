#pragma once

#include "almondlever/common/Result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Key of the head document, which references the parts of the newest configuration. */
inline constexpr const char* configurationHeadKey = "almondlever/config/head";

/** Prefix of the keys of all parts. */
inline constexpr const char* configurationPartPrefix = "almondlever/config/parts/";

/** Maximum size of a part; half of the key-value service's value size limit, to leave room for encoding overhead. */
inline constexpr std::size_t maximumPartBytes = 512 * 1024;

/** Wall-clock time shown to operators; never used to order events between processes. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/**
 * References a stored part by its key "<prefix><version>/<SHA-256>". The version is the one that the apply which wrote
 * the part was creating. Garbage collection deletes only parts of versions up to the head's, so it cannot delete the
 * parts of an apply that has not switched the head yet.
 */
struct PartReference {
    /** Lower-case hexadecimal SHA-256 of the content. */
    std::string sha256;
    std::uint64_t version = 0;

    std::string key() const;
};

/** Metadata of one version of the configuration, as stored in the head. */
struct ConfigurationRelease {
    std::uint64_t version = 0;
    /** Unique to one apply; after a lost response it shows whether that apply took effect. */
    std::string applyId;
    std::string author;
    WallTime appliedAt {};
    std::vector<PartReference> parts;
};

/** The head document. */
struct ConfigurationHead {
    ConfigurationRelease current;
    /** Earlier releases whose parts are retained, newest first. */
    std::vector<ConfigurationRelease> previous;

    /** The release that an apply produced, or null when it is neither the current nor a retained release. */
    const ConfigurationRelease* findApply(const std::string& applyId) const;
    /** The release of that version, or null when it is neither the current nor a retained release. */
    const ConfigurationRelease* findVersion(std::uint64_t version) const;
};

/** A part that must be stored before the head. */
struct ConfigurationPart {
    PartReference reference;
    std::string content;
};

/** A head and those of its parts that are not stored yet. */
struct PreparedRelease {
    ConfigurationHead head;
    std::vector<ConfigurationPart> newParts;
};

/** Unique id, author and time of an apply. */
struct ApplyDetails {
    std::string applyId;
    /** Truncated to 256 bytes; "unknown" when empty. */
    std::string author;
    WallTime appliedAt {};
};

/** Returns the SHA-256 of the content in lower-case hexadecimal. */
std::string hashContent(const std::string& content);

/** Splits bytes into chunks of at most maximumPartBytes; empty input yields one empty chunk. */
std::vector<std::string> splitIntoParts(const std::string& bytes);

/** Describes why stored parts do not form a configuration. */
struct PartsError {
    std::string detail;
};

/** Concatenates parts; the error names the first part whose content does not match the hash in its reference. */
Result<std::string, PartsError> joinParts(const std::vector<PartReference>&, const std::vector<std::string>& contents);

/**
 * Prepares the release that follows the given head, or version 1 without one. Parts of the current release are reused.
 * Earlier releases are retained if they are among the newest three or were replaced within the last ten minutes, up to
 * 32 of them.
 */
PreparedRelease prepareRelease(
    const std::string& configurationBytes, const std::optional<ConfigurationHead>&, const ApplyDetails&);

std::string encodeHead(const ConfigurationHead&);
/** Decodes a head; the error describes what is malformed. Does not throw on malformed input. */
Result<ConfigurationHead, std::string> decodeHead(const std::string& bytes);

/**
 * Returns the stored keys that no release in the head references and that no running or later apply can reference. Keys
 * that are not part keys are ignored.
 */
std::vector<std::string> findGarbageParts(const std::vector<std::string>& storedKeys, const ConfigurationHead&);

} // namespace almondlever

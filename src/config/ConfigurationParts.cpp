#include "almondlever/config/ConfigurationParts.h"

#include "JsonReader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <openssl/sha.h>
#include <set>
#include <stdexcept>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint64_t formatVersion = 1;

    /** Earlier releases that are retained regardless of age. */
    constexpr std::size_t minimumKeptReleases = 3;
    /** Limits the size of the head; 32 releases of 16 parts take about 60 KB. */
    constexpr std::size_t maximumKeptReleases = 32;
    /** Parts stay available to a reader that fetched the head up to this long ago. */
    constexpr std::chrono::minutes keptReleaseAge { 10 };

    constexpr std::size_t hashCharacters = 2 * SHA256_DIGEST_LENGTH;
    constexpr std::size_t maximumAuthorBytes = 256;
    /** End of year 9999 in milliseconds since the epoch; later times cannot be formatted. */
    constexpr std::uint64_t maximumWallTimeMilliseconds = 253402300799999;

    bool isHash(const std::string& text)
    {
        return text.size() == hashCharacters && text.find_first_not_of("0123456789abcdef") == std::string::npos;
    }

    Json encodeRelease(const ConfigurationRelease& release)
    {
        Json parts = Json::array();
        for (const PartReference& part : release.parts)
            parts.push_back({ { "sha256", part.sha256 }, { "version", part.version } });
        return { { "version", release.version }, { "apply_id", release.applyId }, { "author", release.author },
            { "applied_at", release.appliedAt.time_since_epoch().count() }, { "parts", std::move(parts) } };
    }

    PartReference decodePartReference(const Json& object, std::uint64_t releaseVersion)
    {
        PartReference part;
        part.sha256 = readText(object, "sha256");
        if (!isHash(part.sha256))
            throw std::invalid_argument("'sha256' is not a SHA-256 in lower-case hexadecimal");
        part.version = readUnsigned(object, "version", releaseVersion);
        return part;
    }

    ConfigurationRelease decodeRelease(const Json& object)
    {
        ConfigurationRelease release;
        release.version = readUnsigned(object, "version", UINT64_MAX - 1);
        release.applyId = readText(object, "apply_id");
        release.author = readText(object, "author");
        release.appliedAt
            = WallTime(std::chrono::milliseconds(readUnsigned(object, "applied_at", maximumWallTimeMilliseconds)));
        for (const Json& part : readList(object, "parts"))
            release.parts.push_back(decodePartReference(part, release.version));
        if (release.version == 0 || release.parts.empty())
            throw std::invalid_argument("a release has no version or no parts");
        return release;
    }

    ConfigurationHead decodeDocument(const Json& document)
    {
        if (readUnsigned(document, "format", UINT64_MAX) != formatVersion)
            throw std::invalid_argument("the format version is not supported by this build");
        ConfigurationHead head;
        head.current = decodeRelease(document);
        std::uint64_t newerVersion = head.current.version;
        for (const Json& object : readList(document, "previous")) {
            head.previous.push_back(decodeRelease(object));
            if (head.previous.back().version >= newerVersion)
                throw std::invalid_argument("the earlier releases are not in descending order of version");
            newerVersion = head.previous.back().version;
        }
        return head;
    }

    std::vector<ConfigurationRelease> keepReleases(const ConfigurationHead& head, WallTime now)
    {
        std::vector<ConfigurationRelease> kept { head.current };
        WallTime replacedAt = head.current.appliedAt;
        for (const ConfigurationRelease& release : head.previous) {
            const bool isRecent = now - replacedAt < keptReleaseAge;
            if (kept.size() >= maximumKeptReleases || (kept.size() >= minimumKeptReleases && !isRecent))
                break;
            kept.push_back(release);
            replacedAt = release.appliedAt;
        }
        return kept;
    }

    /** Parses the version from a part key; nullopt when the key is not a part key. */
    std::optional<std::uint64_t> versionOfPartKey(const std::string& key)
    {
        const std::string prefix = configurationPartPrefix;
        if (key.compare(0, prefix.size(), prefix) != 0)
            return std::nullopt;
        const std::size_t slash = key.find('/', prefix.size());
        if (slash == std::string::npos || !isHash(key.substr(slash + 1)))
            return std::nullopt;
        std::uint64_t version = 0;
        const char* end = key.data() + slash;
        const auto parsed = std::from_chars(key.data() + prefix.size(), end, version);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return std::nullopt;
        return version;
    }

} // namespace

std::string PartReference::key() const { return configurationPartPrefix + std::to_string(version) + '/' + sha256; }

const ConfigurationRelease* ConfigurationHead::findApply(const std::string& applyId) const
{
    if (current.applyId == applyId)
        return &current;
    const auto found = std::find_if(previous.begin(), previous.end(),
        [&](const ConfigurationRelease& release) { return release.applyId == applyId; });
    return found == previous.end() ? nullptr : &*found;
}

const ConfigurationRelease* ConfigurationHead::findVersion(std::uint64_t version) const
{
    if (current.version == version)
        return &current;
    const auto found = std::find_if(previous.begin(), previous.end(),
        [&](const ConfigurationRelease& release) { return release.version == version; });
    return found == previous.end() ? nullptr : &*found;
}

std::string hashContent(const std::string& content)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest.data());
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : digest) {
        text += digits[byte / 16];
        text += digits[byte % 16];
    }
    return text;
}

std::vector<std::string> splitIntoParts(const std::string& bytes)
{
    std::vector<std::string> contents;
    for (std::size_t offset = 0; offset < bytes.size(); offset += maximumPartBytes)
        contents.push_back(bytes.substr(offset, maximumPartBytes));
    if (contents.empty())
        contents.emplace_back();
    return contents;
}

Result<std::string, PartsError> joinParts(
    const std::vector<PartReference>& references, const std::vector<std::string>& contents)
{
    if (references.size() != contents.size())
        return PartsError { "the number of parts differs from that in the head" };
    std::string bytes;
    for (std::size_t index = 0; index < contents.size(); ++index) {
        if (hashContent(contents[index]) != references[index].sha256)
            return PartsError { "part " + references[index].key() + " does not match its hash" };
        bytes += contents[index];
    }
    return bytes;
}

PreparedRelease prepareRelease(
    const std::string& configurationBytes, const std::optional<ConfigurationHead>& base, const ApplyDetails& details)
{
    PreparedRelease prepared;
    ConfigurationRelease& release = prepared.head.current;
    release.version = base ? base->current.version + 1 : 1;
    release.applyId = details.applyId;
    release.author = details.author.empty() ? "unknown" : details.author.substr(0, maximumAuthorBytes);
    release.appliedAt = details.appliedAt;
    if (base)
        prepared.head.previous = keepReleases(*base, details.appliedAt);
    const std::vector<PartReference> stored = base ? base->current.parts : std::vector<PartReference>();
    std::set<std::string> newHashes;
    for (std::string& content : splitIntoParts(configurationBytes)) {
        PartReference reference { hashContent(content), release.version };
        const auto reusable = std::find_if(stored.begin(), stored.end(),
            [&](const PartReference& candidate) { return candidate.sha256 == reference.sha256; });
        if (reusable != stored.end())
            reference = *reusable;
        else if (newHashes.insert(reference.sha256).second)
            prepared.newParts.push_back({ reference, std::move(content) });
        release.parts.push_back(std::move(reference));
    }
    return prepared;
}

std::string encodeHead(const ConfigurationHead& head)
{
    Json document = encodeRelease(head.current);
    document["format"] = formatVersion;
    document["previous"] = Json::array();
    for (const ConfigurationRelease& release : head.previous)
        document["previous"].push_back(encodeRelease(release));
    return writeJson(document);
}

Result<ConfigurationHead, std::string> decodeHead(const std::string& bytes)
{
    try {
        return decodeDocument(Json::parse(bytes));
    } catch (const std::exception& error) {
        return std::string("head cannot be read: ") + error.what();
    }
}

std::vector<std::string> findGarbageParts(const std::vector<std::string>& storedKeys, const ConfigurationHead& head)
{
    std::set<std::string> used;
    for (const PartReference& part : head.current.parts)
        used.insert(part.key());
    for (const ConfigurationRelease& release : head.previous) {
        for (const PartReference& part : release.parts)
            used.insert(part.key());
    }
    std::vector<std::string> garbage;
    for (const std::string& key : storedKeys) {
        const auto version = versionOfPartKey(key);
        if (version && *version <= head.current.version && used.count(key) == 0)
            garbage.push_back(key);
    }
    return garbage;
}

} // namespace almondlever

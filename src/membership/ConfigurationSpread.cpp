#include "almondlever/membership/ConfigurationSpread.h"

#include <algorithm>
#include <openssl/sha.h>

namespace almondlever {

namespace {

    /** Peers remembered as holders of a newer version; enough to survive several that fail. */
    constexpr std::size_t maximumHolders = 16;

    /** Rejected pairs of version and peer that are remembered. */
    constexpr std::size_t maximumRejected = 64;

    constexpr std::size_t maximumChunks = maximumConfigurationBytes / configurationChunkBytes;

    /** Chunks of a configuration; an empty one still has one chunk. */
    std::size_t chunkCountOf(std::size_t bytes)
    {
        return std::max<std::size_t>(1, (bytes + configurationChunkBytes - 1) / configurationChunkBytes);
    }

    std::string hashOf(const std::string& bytes)
    {
        std::string hash(SHA256_DIGEST_LENGTH, '\0');
        SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
            reinterpret_cast<unsigned char*>(hash.data()));
        return hash;
    }

} // namespace

ConfigurationSpread::ConfigurationSpread(Milliseconds replyTimeout)
    : replyTimeout_(replyTimeout)
{
}

void ConfigurationSpread::hold(std::uint64_t version, std::string bytes)
{
    if (version <= heldVersion_)
        return;
    rememberBase(bytes);
    heldVersion_ = version;
    heldBytes_ = std::move(bytes);
    heldHash_ = hashOf(heldBytes_);
    const auto isOld = [version](const ConfigurationHolder& holder) { return holder.version <= version; };
    holders_.erase(std::remove_if(holders_.begin(), holders_.end(), isOld), holders_.end());
    if (fetch_ && fetch_->holder.version <= version)
        fetch_.reset();
    if (received_ && received_->version <= version)
        received_.reset();
}

void ConfigurationSpread::rememberBase(const std::string& newBytes)
{
    if (heldVersion_ == 0)
        return;
    const std::size_t shorter = std::min(heldBytes_.size(), newBytes.size());
    const auto startEnd = std::mismatch(
        heldBytes_.begin(), heldBytes_.begin() + static_cast<std::ptrdiff_t>(shorter), newBytes.begin());
    const auto atStart = static_cast<std::size_t>(startEnd.first - heldBytes_.begin());
    const auto rest = static_cast<std::ptrdiff_t>(shorter - atStart);
    const auto backEnd = std::mismatch(heldBytes_.rbegin(), heldBytes_.rbegin() + rest, newBytes.rbegin());
    const auto atEnd = static_cast<std::size_t>(backEnd.first - heldBytes_.rbegin());
    // What two steps both keep at an end is kept by both together.
    for (PatchBase& base : bases_) {
        base.keptAtStart = std::min(base.keptAtStart, atStart);
        base.keptAtEnd = std::min(base.keptAtEnd, atEnd);
    }
    if (bases_.size() == maximumPatchBases)
        bases_.erase(bases_.begin());
    bases_.push_back({ heldVersion_, atStart, atEnd });
}

void ConfigurationSpread::reject(std::uint64_t version, const VmId& from)
{
    if (rejected_.size() == maximumRejected)
        rejected_.erase(rejected_.begin());
    rejected_.emplace_back(version, from);
    const auto isBad
        = [&](const ConfigurationHolder& holder) { return holder.holder == from && holder.version <= version; };
    holders_.erase(std::remove_if(holders_.begin(), holders_.end(), isBad), holders_.end());
}

bool ConfigurationSpread::isRejected(std::uint64_t version, const VmId& from) const
{
    return std::find(rejected_.begin(), rejected_.end(), std::make_pair(version, from)) != rejected_.end();
}

std::optional<ConfigRequestAction> ConfigurationSpread::onVersionHeard(const ConfigurationHolder& heard, TimePoint now)
{
    if (heard.version <= heldVersion_ || isRejected(heard.version, heard.holder))
        return std::nullopt;
    const auto known = std::find_if(holders_.begin(), holders_.end(),
        [&heard](const ConfigurationHolder& holder) { return holder.holder == heard.holder; });
    if (known != holders_.end())
        *known = heard;
    else if (holders_.size() < maximumHolders)
        holders_.push_back(heard);
    return fetch_ || received_ ? std::nullopt : startFetch(now);
}

std::optional<ConfigRequestAction> ConfigurationSpread::onTick(TimePoint now)
{
    if (fetch_ && now - fetch_->askedAt >= replyTimeout_)
        return giveUp(now);
    return fetch_ || received_ ? std::nullopt : startFetch(now);
}

std::optional<ConfigRequestAction> ConfigurationSpread::onPeerLost(const VmId& peer, TimePoint now)
{
    return fetch_ && fetch_->holder.holder == peer ? giveUp(now) : std::nullopt;
}

std::optional<ConfigRequestAction> ConfigurationSpread::startFetch(TimePoint now)
{
    const auto newest = std::max_element(holders_.begin(), holders_.end(),
        [](const ConfigurationHolder& left, const ConfigurationHolder& right) { return left.version < right.version; });
    if (newest == holders_.end() || newest->version <= heldVersion_)
        return std::nullopt;
    fetch_ = Fetch {};
    fetch_->holder = *newest;
    return ask(now);
}

std::optional<ConfigRequestAction> ConfigurationSpread::giveUp(TimePoint now)
{
    const VmId failed = fetch_->holder.holder;
    fetch_.reset();
    // The peer is asked again once it is heard again with a newer version.
    holders_.erase(std::remove_if(holders_.begin(), holders_.end(),
                       [&failed](const ConfigurationHolder& holder) { return holder.holder == failed; }),
        holders_.end());
    return startFetch(now);
}

ConfigRequestAction ConfigurationSpread::ask(TimePoint now)
{
    fetch_->askedAt = now;
    return { fetch_->holder.holder, fetch_->holder.address,
        { heldVersion_, fetch_->nextChunk, fetch_->acceptsPatch && heldVersion_ != 0 } };
}

std::optional<ConfigRequestAction> ConfigurationSpread::onReply(
    const VmId& from, const ConfigReply& reply, TimePoint now)
{
    if (!fetch_ || from != fetch_->holder.holder || reply.version <= heldVersion_)
        return std::nullopt;
    if (reply.patch)
        return onPatch(from, reply, now);
    if (reply.chunkCount == 0 || reply.chunkCount > maximumChunks)
        return giveUp(now);
    Fetch& fetch = *fetch_;
    const bool hasChanged = fetch.version != 0 && reply.version != fetch.version;
    if (hasChanged) {
        // The peer took over a newer version between two chunks; parts of two versions must not be mixed.
        fetch.version = 0;
        fetch.nextChunk = 0;
        fetch.bytes.clear();
        return reply.version > fetch.holder.version ? std::optional<ConfigRequestAction>(ask(now)) : giveUp(now);
    }
    if (reply.chunk != fetch.nextChunk)
        return std::nullopt;
    const bool isLast = reply.chunk + 1 == reply.chunkCount;
    const bool isSizeRight
        = isLast ? reply.bytes.size() <= configurationChunkBytes : reply.bytes.size() == configurationChunkBytes;
    if (!isSizeRight || (fetch.version != 0 && reply.chunkCount != fetch.chunkCount))
        return giveUp(now);
    fetch.version = reply.version;
    fetch.chunkCount = reply.chunkCount;
    fetch.bytes += reply.bytes;
    ++fetch.nextChunk;
    if (!isLast)
        return ask(now);
    received_ = ReceivedConfiguration { fetch.version, std::move(fetch.bytes), from };
    fetch_.reset();
    return std::nullopt;
}

std::optional<ConfigRequestAction> ConfigurationSpread::onPatch(
    const VmId& from, const ConfigReply& reply, TimePoint now)
{
    Fetch& fetch = *fetch_;
    if (!fetch.acceptsPatch || fetch.nextChunk != 0)
        return std::nullopt;
    const ConfigPatch& patch = *reply.patch;
    const std::size_t kept = patch.keptAtStart + patch.keptAtEnd;
    const bool fits = patch.baseVersion == heldVersion_ && kept <= heldBytes_.size()
        && kept + reply.bytes.size() <= maximumConfigurationBytes;
    std::string bytes;
    if (fits)
        bytes = heldBytes_.substr(0, patch.keptAtStart) + reply.bytes
            + heldBytes_.substr(heldBytes_.size() - patch.keptAtEnd);
    if (!fits || hashOf(bytes) != patch.sha256) {
        fetch.acceptsPatch = false;
        return ask(now);
    }
    received_ = ReceivedConfiguration { reply.version, std::move(bytes), from };
    fetch_.reset();
    return std::nullopt;
}

std::optional<ReceivedConfiguration> ConfigurationSpread::takeReceived()
{
    std::optional<ReceivedConfiguration> received;
    received.swap(received_);
    return received;
}

std::optional<ConfigReply> ConfigurationSpread::onRequest(const ConfigRequest& request) const
{
    if (request.acceptsPatch && request.chunk == 0 && heldVersion_ > request.knownVersion) {
        if (auto patch = makePatch(request))
            return patch;
    }
    const std::size_t chunkCount = chunkCountOf(heldBytes_.size());
    if (heldVersion_ <= request.knownVersion || request.chunk >= chunkCount)
        return std::nullopt;
    return ConfigReply { heldVersion_, request.chunk, chunkCount,
        heldBytes_.substr(request.chunk * configurationChunkBytes, configurationChunkBytes), std::nullopt };
}

std::optional<ConfigReply> ConfigurationSpread::makePatch(const ConfigRequest& request) const
{
    const auto base = std::find_if(bases_.begin(), bases_.end(),
        [&request](const PatchBase& candidate) { return candidate.version == request.knownVersion; });
    if (base == bases_.end())
        return std::nullopt;
    const std::size_t changed = heldBytes_.size() - base->keptAtStart - base->keptAtEnd;
    if (changed > configurationChunkBytes)
        return std::nullopt;
    return ConfigReply { heldVersion_, 0, 1, heldBytes_.substr(base->keptAtStart, changed),
        ConfigPatch { base->version, base->keptAtStart, base->keptAtEnd, heldHash_ } };
}

} // namespace almondlever

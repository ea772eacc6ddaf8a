#include "almondlever/membership/ConfigurationDistributor.h"

#include <algorithm>
#include <openssl/sha.h>

namespace almondlever {

namespace {

    /** Peers remembered as holders of a newer version; enough to tolerate the failure of several. */
    constexpr std::size_t maximumHolders = 16;

    /** Number of rejected pairs of version and peer that are remembered. */
    constexpr std::size_t maximumRejected = 64;

    constexpr std::size_t maximumChunks = maximumConfigurationBytes / configurationChunkBytes;

    /** Number of chunks of a configuration. An empty configuration still has one chunk. */
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

ConfigurationDistributor::ConfigurationDistributor(Milliseconds replyTimeout)
    : replyTimeout_(replyTimeout)
{
}

void ConfigurationDistributor::setCurrent(std::uint64_t version, std::string bytes)
{
    if (version <= currentVersion_)
        return;
    addPatchBase(bytes);
    currentVersion_ = version;
    currentBytes_ = std::move(bytes);
    currentHash_ = hashOf(currentBytes_);
    const auto isOld = [version](const ConfigurationHolder& holder) { return holder.version <= version; };
    holders_.erase(std::remove_if(holders_.begin(), holders_.end(), isOld), holders_.end());
    if (fetch_ && fetch_->holder.version <= version)
        fetch_.reset();
    if (received_ && received_->version <= version)
        received_.reset();
}

void ConfigurationDistributor::addPatchBase(const std::string& newBytes)
{
    if (currentVersion_ == 0)
        return;
    const std::size_t shorter = std::min(currentBytes_.size(), newBytes.size());
    const auto prefixEnd = std::mismatch(
        currentBytes_.begin(), currentBytes_.begin() + static_cast<std::ptrdiff_t>(shorter), newBytes.begin());
    const auto atStart = static_cast<std::size_t>(prefixEnd.first - currentBytes_.begin());
    const auto rest = static_cast<std::ptrdiff_t>(shorter - atStart);
    const auto suffixEnd = std::mismatch(currentBytes_.rbegin(), currentBytes_.rbegin() + rest, newBytes.rbegin());
    const auto atEnd = static_cast<std::size_t>(suffixEnd.first - currentBytes_.rbegin());
    // The prefix and suffix shared across several changes are bounded by the shortest of each.
    for (PatchBase& base : patchBases_) {
        base.keptAtStart = std::min(base.keptAtStart, atStart);
        base.keptAtEnd = std::min(base.keptAtEnd, atEnd);
    }
    if (patchBases_.size() == maximumPatchBases)
        patchBases_.erase(patchBases_.begin());
    patchBases_.push_back({ currentVersion_, atStart, atEnd });
}

void ConfigurationDistributor::reject(std::uint64_t version, const VmId& from)
{
    if (rejected_.size() == maximumRejected)
        rejected_.erase(rejected_.begin());
    rejected_.emplace_back(version, from);
    const auto isBad
        = [&](const ConfigurationHolder& holder) { return holder.holder == from && holder.version <= version; };
    holders_.erase(std::remove_if(holders_.begin(), holders_.end(), isBad), holders_.end());
}

bool ConfigurationDistributor::isRejected(std::uint64_t version, const VmId& from) const
{
    return std::find(rejected_.begin(), rejected_.end(), std::make_pair(version, from)) != rejected_.end();
}

std::optional<ConfigRequestAction> ConfigurationDistributor::onVersionAdvertised(
    const ConfigurationHolder& advertised, TimePoint now)
{
    if (advertised.version <= currentVersion_ || isRejected(advertised.version, advertised.holder))
        return std::nullopt;
    const auto known = std::find_if(holders_.begin(), holders_.end(),
        [&advertised](const ConfigurationHolder& holder) { return holder.holder == advertised.holder; });
    if (known != holders_.end())
        *known = advertised;
    else if (holders_.size() < maximumHolders)
        holders_.push_back(advertised);
    return fetch_ || received_ ? std::nullopt : startFetch(now);
}

std::optional<ConfigRequestAction> ConfigurationDistributor::onTick(TimePoint now)
{
    if (fetch_ && now - fetch_->requestedAt >= replyTimeout_)
        return tryNextPeer(now);
    return fetch_ || received_ ? std::nullopt : startFetch(now);
}

std::optional<ConfigRequestAction> ConfigurationDistributor::onPeerLost(const VmId& peer, TimePoint now)
{
    return fetch_ && fetch_->holder.holder == peer ? tryNextPeer(now) : std::nullopt;
}

std::optional<ConfigRequestAction> ConfigurationDistributor::startFetch(TimePoint now)
{
    const auto newest = std::max_element(holders_.begin(), holders_.end(),
        [](const ConfigurationHolder& left, const ConfigurationHolder& right) { return left.version < right.version; });
    if (newest == holders_.end() || newest->version <= currentVersion_)
        return std::nullopt;
    fetch_ = Fetch {};
    fetch_->holder = *newest;
    return requestChunk(now);
}

std::optional<ConfigRequestAction> ConfigurationDistributor::tryNextPeer(TimePoint now)
{
    const VmId failed = fetch_->holder.holder;
    fetch_.reset();
    // The peer is asked again only after it has advertised a newer version than the current one.
    holders_.erase(std::remove_if(holders_.begin(), holders_.end(),
                       [&failed](const ConfigurationHolder& holder) { return holder.holder == failed; }),
        holders_.end());
    return startFetch(now);
}

ConfigRequestAction ConfigurationDistributor::requestChunk(TimePoint now)
{
    fetch_->requestedAt = now;
    return { fetch_->holder.holder, fetch_->holder.address,
        { currentVersion_, fetch_->nextChunk, fetch_->acceptsPatch && currentVersion_ != 0 } };
}

std::optional<ConfigRequestAction> ConfigurationDistributor::onReply(
    const VmId& from, const ConfigReply& reply, TimePoint now)
{
    if (!fetch_ || from != fetch_->holder.holder || reply.version <= currentVersion_)
        return std::nullopt;
    if (reply.patch)
        return onPatch(from, reply, now);
    if (reply.chunkCount == 0 || reply.chunkCount > maximumChunks)
        return tryNextPeer(now);
    Fetch& fetch = *fetch_;
    const bool hasChanged = fetch.version != 0 && reply.version != fetch.version;
    if (hasChanged) {
        // The peer changed to another version between two chunks. Chunks of two versions must not be mixed.
        fetch.version = 0;
        fetch.nextChunk = 0;
        fetch.bytes.clear();
        return reply.version > fetch.holder.version ? std::optional<ConfigRequestAction>(requestChunk(now))
                                                    : tryNextPeer(now);
    }
    if (reply.chunk != fetch.nextChunk)
        return std::nullopt;
    const bool isLast = reply.chunk + 1 == reply.chunkCount;
    const bool isSizeRight
        = isLast ? reply.bytes.size() <= configurationChunkBytes : reply.bytes.size() == configurationChunkBytes;
    if (!isSizeRight || (fetch.version != 0 && reply.chunkCount != fetch.chunkCount))
        return tryNextPeer(now);
    fetch.version = reply.version;
    fetch.chunkCount = reply.chunkCount;
    fetch.bytes += reply.bytes;
    ++fetch.nextChunk;
    if (!isLast)
        return requestChunk(now);
    received_ = ReceivedConfiguration { fetch.version, std::move(fetch.bytes), from };
    fetch_.reset();
    return std::nullopt;
}

std::optional<ConfigRequestAction> ConfigurationDistributor::onPatch(
    const VmId& from, const ConfigReply& reply, TimePoint now)
{
    Fetch& fetch = *fetch_;
    if (!fetch.acceptsPatch || fetch.nextChunk != 0)
        return std::nullopt;
    const ConfigPatch& patch = *reply.patch;
    const std::size_t kept = patch.keptAtStart + patch.keptAtEnd;
    const bool fits = patch.baseVersion == currentVersion_ && kept <= currentBytes_.size()
        && kept + reply.bytes.size() <= maximumConfigurationBytes;
    std::string bytes;
    if (fits)
        bytes = currentBytes_.substr(0, patch.keptAtStart) + reply.bytes
            + currentBytes_.substr(currentBytes_.size() - patch.keptAtEnd);
    if (!fits || hashOf(bytes) != patch.sha256) {
        fetch.acceptsPatch = false;
        return requestChunk(now);
    }
    received_ = ReceivedConfiguration { reply.version, std::move(bytes), from };
    fetch_.reset();
    return std::nullopt;
}

std::optional<ReceivedConfiguration> ConfigurationDistributor::takeReceived()
{
    std::optional<ReceivedConfiguration> received;
    received.swap(received_);
    return received;
}

std::optional<ConfigReply> ConfigurationDistributor::onRequest(const ConfigRequest& request) const
{
    if (request.acceptsPatch && request.chunk == 0 && currentVersion_ > request.knownVersion) {
        if (auto patch = makePatch(request))
            return patch;
    }
    const std::size_t chunkCount = chunkCountOf(currentBytes_.size());
    if (currentVersion_ <= request.knownVersion || request.chunk >= chunkCount)
        return std::nullopt;
    return ConfigReply { currentVersion_, request.chunk, chunkCount,
        currentBytes_.substr(request.chunk * configurationChunkBytes, configurationChunkBytes), std::nullopt };
}

std::optional<ConfigReply> ConfigurationDistributor::makePatch(const ConfigRequest& request) const
{
    const auto base = std::find_if(patchBases_.begin(), patchBases_.end(),
        [&request](const PatchBase& candidate) { return candidate.version == request.knownVersion; });
    if (base == patchBases_.end())
        return std::nullopt;
    const std::size_t changed = currentBytes_.size() - base->keptAtStart - base->keptAtEnd;
    if (changed > configurationChunkBytes)
        return std::nullopt;
    return ConfigReply { currentVersion_, 0, 1, currentBytes_.substr(base->keptAtStart, changed),
        ConfigPatch { base->version, base->keptAtStart, base->keptAtEnd, currentHash_ } };
}

} // namespace almondlever

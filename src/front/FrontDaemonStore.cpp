#include "almondlever/common/StoreEra.h"
#include "almondlever/front/FrontDaemon.h"

#include <random>

namespace almondlever {

namespace {

    constexpr std::size_t clusterKeyWords = 4;
    /** Number of time slots over which the daemons spread their registration after a restore of the store. */
    constexpr std::uint64_t spreadSteps = 100;

    std::string newClusterKey()
    {
        std::random_device random;
        std::string key;
        for (std::size_t word = 0; word < clusterKeyWords; ++word)
            key += std::to_string(random()) + '-' + std::to_string(random()) + '-';
        return key;
    }

    std::string withoutPrefix(const std::string& key, const std::string& prefix) { return key.substr(prefix.size()); }

    bool hasPrefix(const std::string& key, const std::string& prefix) { return key.rfind(prefix, 0) == 0; }

} // namespace

void FrontDaemon::onStoreSnapshot(
    const std::string& prefix, const std::vector<StoreItem>& items, std::uint64_t revision, TimePoint now)
{
    updateStoreEra(revision, now);
    const bool isConfiguration = prefix == decoder_.configurationPrefix();
    relay_.cacheOf(prefix).applySnapshot(isConfiguration ? withConfigurationInForce(items) : items, revision);
    if (isConfiguration) {
        for (const StoreItem& item : items)
            handleConfiguration(item, now);
    } else if (prefix == decoder_.endpointPrefix()) {
        handleEndpoints(items, true, now);
    } else {
        handleOwnKeys(items, true, now);
    }
}

void FrontDaemon::onStoreChanges(
    const std::string& prefix, const std::vector<StoreItem>& items, std::uint64_t revision, TimePoint now)
{
    updateStoreEra(revision, now);
    if (prefix == decoder_.endpointPrefix()) {
        // Heartbeats are not passed on to peers.
        relay_.cacheOf(prefix).applyChanges(handleEndpoints(items, false, now), revision);
        return;
    }
    relay_.cacheOf(prefix).applyChanges(items, revision);
    if (prefix == decoder_.configurationPrefix()) {
        for (const StoreItem& item : items)
            handleConfiguration(item, now);
    } else {
        handleOwnKeys(items, false, now);
    }
}

void FrontDaemon::updateStoreEra(std::uint64_t revision, TimePoint now)
{
    const std::uint64_t era = storeEra::eraOf(revision);
    if (storeEra_ && era <= *storeEra_)
        return;
    const std::optional<std::uint64_t> former = storeEra_;
    storeEra_ = era;
    if (!former)
        return;
    logWarning("store_restored",
        { { "era", std::to_string(era) }, { "former", std::to_string(*former) },
            { "revision", std::to_string(storeEra::numberOf(revision)) } });
    metrics_.count("almondlever_store_restores_total", "");
    promotions_.onStoreEra(era, now);
    // This daemon's lease is void, and its member entry may be missing.
    const Duration delay = settings_.reregistrationSpread * static_cast<int>(settings_.randomSeed % spreadSteps)
        / static_cast<int>(spreadSteps);
    timers_.callAfter(delay, [this, alive = std::weak_ptr<int>(alive_)](TimePoint) {
        if (!alive.expired())
            registerMember();
    });
}

std::vector<StoreItem> FrontDaemon::withConfigurationInForce(const std::vector<StoreItem>& items) const
{
    const auto isOlder = [this](const StoreItem& item) {
        const bool isSame = routing_ && item.key == configurationItem_.key;
        if (!isSame || storeEra::eraOf(item.revision) == storeEra::eraOf(configurationItem_.revision))
            return false;
        const Result<RoutingConfiguration, std::string> decoded = decoder_.decodeConfiguration(item);
        return !decoded || decoded.value().version < routing_->version;
    };
    std::vector<StoreItem> passed = items;
    for (StoreItem& item : passed) {
        if (isOlder(item))
            item.value = configurationItem_.value;
    }
    return passed;
}

void FrontDaemon::onStoreReturned(const std::string& prefix, TimePoint now)
{
    logInfo("store_returned", { { "prefix", prefix } });
    if (prefix == decoder_.endpointPrefix())
        directory_.restartGracePeriods(now);
}

void FrontDaemon::onStoreLost(const std::string& prefix, const StoreFailure& failure, TimePoint)
{
    logWarning(
        "store_lost", { { "prefix", prefix }, { "failure", toText(failure.kind) }, { "detail", failure.detail } });
    metrics_.count("almondlever_store_lost_total", "prefix=\"" + prefix + '"');
}

void FrontDaemon::handleConfiguration(const StoreItem& item, TimePoint now)
{
    if (item.isDeleted)
        return;
    if (routing_ && item.key == configurationItem_.key && item.revision == configurationItem_.revision) {
        isConfigurationRejected_ = false;
        return;
    }
    const Result<RoutingConfiguration, std::string> decoded = decoder_.decodeConfiguration(item);
    isConfigurationRejected_ = !decoded;
    if (!decoded)
        return logWarning("configuration_rejected",
            { { "key", item.key }, { "revision", std::to_string(item.revision) }, { "reason", decoded.error() } });
    const RoutingConfiguration& configuration = decoded.value();
    if (routing_ && configuration.version <= routing_->version)
        return;
    logInfo("configuration_in_force",
        { { "version", std::to_string(configuration.version) },
            { "previous", routing_ ? std::to_string(routing_->version) : "none" },
            { "revision", std::to_string(item.revision) }, { "routes", std::to_string(configuration.routes.size()) },
            { "groups", std::to_string(configuration.groups.size()) },
            { "customers",
                configuration.customers ? std::to_string(configuration.customers->customers().size()) : "none" } });
    routing_ = std::make_shared<const RoutingConfiguration>(configuration);
    configurationItem_ = item;
    applyCustomers(now);
    applyConfiguration(now);
}

void FrontDaemon::applyCustomers(TimePoint now)
{
    quotaCoordinator_.setCustomers(routing_->customers, now);
    gate_.setCustomers(routing_->customers);
    dispatcher_.setConnectionsByCustomer(routing_->customers != nullptr);
    const bool mustProve = routing_->customers && settings_.keyWithdrawalLimit > Milliseconds(0);
    relay_.setVerifiedPrefix(mustProve ? decoder_.configurationPrefix() : "");
    // Closing a session removes it from the map.
    std::vector<Session*> sessions;
    for (const auto& [link, session] : sessions_)
        sessions.push_back(session.get());
    for (Session* session : sessions)
        session->endIfKeyWithdrawn(now);
}

void FrontDaemon::confirmConfiguration()
{
    const std::optional<TimePoint> proven = relay_.provenAt(decoder_.configurationPrefix());
    if (proven && !isConfigurationRejected_)
        gate_.confirm(*proven);
}

void FrontDaemon::applyConfiguration(TimePoint now)
{
    // A daemon that does not know the others would consider itself the owner of every group. After a power loss of the
    // whole fleet, the connections of all daemons would leave none for the actual owners.
    if (!routing_ || !hasMembers_)
        return;
    updateOwners(now);
    dispatcher_.setGroups(routing_->groups, now);
    promotions_.setGroups(routing_->groups);
    processPendingOpens(now);
}

bool FrontDaemon::isChanged(const EndpointEntry& entry) const
{
    const EndpointEntry* known = directory_.find(entry.id);
    return !known || directory_.isLapsing(entry.id) || known->group != entry.group
        || known->isLeaving != entry.isLeaving || known->reportsPrimary != entry.reportsPrimary
        || known->address != entry.address || known->startedAt != entry.startedAt;
}

std::vector<StoreItem> FrontDaemon::handleEndpoints(const std::vector<StoreItem>& items, bool isSnapshot, TimePoint now)
{
    std::vector<StoreItem> changed;
    std::vector<EndpointEntry> entries;
    for (const StoreItem& item : items) {
        if (item.isDeleted) {
            const EndpointId id = decoder_.endpointOf(item.key);
            const EndpointEntry* known = directory_.find(id);
            logInfo("endpoint_lapsed",
                { { "endpoint", id.text() }, { "revision", std::to_string(item.revision) }, { "cause", "deleted" },
                    { "group", known ? known->group.text() : "" },
                    { "started_at", known ? std::to_string(known->startedAt.count()) : "" } });
            directory_.lapse(id, item.revision, now);
            changed.push_back(item);
            continue;
        }
        const Result<EndpointEntry, std::string> decoded = decoder_.decodeEndpoint(item);
        if (!decoded) {
            logWarning("endpoint_entry_rejected",
                { { "key", item.key }, { "revision", std::to_string(item.revision) }, { "reason", decoded.error() } });
            directory_.lapse(decoder_.endpointOf(item.key), item.revision, now);
            changed.push_back(item);
            continue;
        }
        const EndpointEntry& entry = decoded.value();
        if (isChanged(entry)) {
            changed.push_back(item);
            logInfo("endpoint_entry",
                { { "endpoint", entry.id.text() }, { "group", entry.group.text() }, { "address", entry.address },
                    { "says_primary", entry.reportsPrimary ? "yes" : "no" },
                    { "leaving", entry.isLeaving ? "yes" : "no" }, { "revision", std::to_string(entry.revision) },
                    { "started_at", std::to_string(entry.startedAt.count()) } });
        }
        entries.push_back(entry);
    }
    if (isSnapshot) {
        for (const EndpointEntry& missing : directory_.replaceAll(entries, now))
            logInfo("endpoint_lapsed",
                { { "endpoint", missing.id.text() }, { "revision", std::to_string(missing.revision) },
                    { "cause", "not_in_snapshot" }, { "group", missing.group.text() },
                    { "started_at", std::to_string(missing.startedAt.count()) } });
        hasEndpoints_ = true;
    } else {
        for (const EndpointEntry& entry : entries)
            directory_.update(entry, now);
    }
    if ((isSnapshot || !changed.empty()) && hasMembers_)
        dispatcher_.onDirectoryChange(now);
    return changed;
}

void FrontDaemon::handleOwnKeys(const std::vector<StoreItem>& items, bool isSnapshot, TimePoint now)
{
    bool hasClusterKey = false;
    std::set<std::string> names;
    std::set<GroupId> withoutRecord;
    bool hasNewLeader = false;
    if (isSnapshot && routing_) {
        for (const auto& [group, rule] : routing_->groups) {
            promotions_.onClaim(group, false, now);
            withoutRecord.insert(group);
        }
    }
    for (const StoreItem& item : items) {
        if (hasPrefix(item.key, storeKeys::members)) {
            const std::string name = withoutPrefix(item.key, storeKeys::members);
            names.insert(name);
            if (item.isDeleted)
                members_.lapse(name, now);
            else if (!members_.add(name, item.value))
                logWarning("member_entry_rejected", { { "key", item.key }, { "value", item.value } });
        } else if (hasPrefix(item.key, storeKeys::claims)) {
            promotions_.onClaim(GroupId(withoutPrefix(item.key, storeKeys::claims)), !item.isDeleted, now,
                PromotionClaim::writesUnder(item.value), item.revision);
        } else if (hasPrefix(item.key, storeKeys::changes)) {
            const bool isOpen = !item.isDeleted && item.value == storeKeys::changeOpen;
            const GroupId group(withoutPrefix(item.key, storeKeys::changes));
            const bool isNew = promotions_.isNewerRecord(group, item.revision);
            promotions_.onChangeRecord(group, isOpen, now, item.revision);
            withoutRecord.erase(group);
            const std::optional<RecordedLeader> leader = RecordedLeader::decode(item.value);
            // The leader of a record from before the start of this daemon may have lost its role since.
            if (leader && isNew) {
                noteRecordedLeader(group, leader->id, leader->term);
                hasNewLeader = true;
            }
        } else if (hasPrefix(item.key, storeKeys::logHolders)) {
            promotions_.onLogHolders(GroupId(withoutPrefix(item.key, storeKeys::logHolders)), item);
        } else if (item.key == storeKeys::clusterKey && !item.isDeleted) {
            hasClusterKey = true;
            startPeerNetwork(item.value);
        }
    }
    // A store that was restored from an older copy may lack the record.
    for (const GroupId& group : withoutRecord)
        promotions_.onMissingChangeRecord(group);
    // Statements that were held back must not reach the former primary.
    if (hasNewLeader && hasMembers_)
        dispatcher_.onDirectoryChange(now);
    promotions_.onKeysReported(now);
    if (isSnapshot)
        members_.lapseAllExcept(names, now);
    if (isSnapshot && !hasMembers_)
        relay_.setMembers(members_.view());
    if (isSnapshot && !hasClusterKey && !network_ && (relay_.isWatcher() || hasMembers_))
        writeClusterKey(newClusterKey());
    // A restored store may lack the cluster key, and starting daemons would generate a different one.
    if (isSnapshot && !hasClusterKey && network_ && relay_.isWatcher())
        writeClusterKey(clusterKey_);
    if (isSnapshot && !hasMembers_) {
        hasMembers_ = true;
        return startFollowers(now);
    }
    updateOwners(now);
}

void FrontDaemon::noteRecordedLeader(const GroupId& group, const EndpointId& leader, Term term)
{
    // Its entry may not have arrived yet; what a primary of an earlier term acknowledges counts for nothing all the
    // same.
    directory_.noteTerm(group, term);
    directory_.noteLeading(leader, term);
}

void FrontDaemon::writeClusterKey(const std::string& key)
{
    StoreTransaction transaction;
    transaction.expected.push_back({ storeKeys::clusterKey, 0 });
    transaction.puts.push_back({ storeKeys::clusterKey, key, {} });
    store_.transact(transaction, [](const StoreResult<std::uint64_t>& result) {
        // The key that is in the store arrives through ownFollower_, whichever daemon wrote it.
        if (!result && result.error().kind != StoreFailure::Kind::Conflict)
            logWarning("cluster_key_not_written",
                { { "failure", toText(result.error().kind) }, { "detail", result.error().detail } });
    });
}

} // namespace almondlever

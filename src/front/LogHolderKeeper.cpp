#include "almondlever/front/LogHolderKeeper.h"

#include "almondlever/common/StoreEra.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/store/PromotionClaim.h"

#include <algorithm>
#include <set>

namespace almondlever {

namespace {

    EndpointCommand statusQuery()
    {
        EndpointCommand command;
        command.kind = EndpointCommand::Kind::QueryStatus;
        return command;
    }

} // namespace

/** Evidence that the listed endpoints hold every acknowledged commit. */
struct LogHolderKeeper::Confirmation {
    std::uint64_t number = 0;
    std::vector<LogHolder> candidates;
    /** Candidates for which it is not known yet whether they still run. */
    std::size_t pendingProbes = 0;
    std::size_t synchronousReplicas = 0;
    EndpointId primary;
    Milliseconds primaryStartedAt { 0 };
    /** End of the primary's log, reported after the candidates were missing; nullopt before its answer. */
    std::optional<LogPosition> position;
    /** Staying replicas that have reached the position, with their start. */
    std::map<EndpointId, Milliseconds> confirmed;
    TimePoint startedAt;
    TimePoint askedAt;
};

/** What this daemon knows of the record of a group. */
struct LogHolderKeeper::GroupRecord {
    /** nullopt before a record was seen. */
    std::optional<LogHolders> known;
    /** Store revision of the known record; 0 if the key does not exist, as far as this daemon knows. */
    std::uint64_t revision = 0;
    /** Value of the key in the store; differs from `known` after a restore from an older copy. */
    std::string stored;
    /** Store revision at which `known` was read. */
    std::uint64_t knownRevision = 0;
    std::unique_ptr<Confirmation> confirmation;
    bool isWriting = false;
    /** A later version has written the record; this one can neither read nor replace it. */
    bool isOfLaterVersion = false;
    /** Confirmations that failed in a row. */
    int failures = 0;
    /** A write has failed, or the store was restored, so that the record is read before the next write. */
    bool mustReload = false;
    /** Endpoints that were listed at the last check, and since when. */
    std::set<EndpointId> listed;
    TimePoint listedSince {};
    /** Since when the record differs from what it should say. */
    std::optional<TimePoint> outdatedSince;
    /** Since when holders have had no entry. */
    std::map<EndpointId, TimePoint> missingSince;
    /** Since when more endpoints are listed than the group size says. */
    std::optional<TimePoint> largerSince;
    TimePoint checkedAt {};
    /** After a failure of the store. */
    TimePoint notBefore {};
    /** After a confirmation that failed. */
    TimePoint confirmNotBefore {};
};

LogHolderKeeper::LogHolderKeeper(EndpointDirectory& directory, StatementDispatcher& dispatcher, MetadataStore& store,
    TimerService& timers, const LogHolderSettings& settings)
    : directory_(directory)
    , dispatcher_(dispatcher)
    , store_(store)
    , timers_(timers)
    , settings_(settings)
{
}

LogHolderKeeper::~LogHolderKeeper() = default;

void LogHolderKeeper::noteRecord(const GroupId& group, const StoreItem& item)
{
    GroupRecord& record = records_[group];
    if (item.revision < record.revision)
        return;
    record.revision = item.isDeleted ? 0 : item.revision;
    record.stored = item.isDeleted ? "" : item.value;
    if (item.isDeleted)
        return;
    std::optional<LogHolders> decoded = LogHolders::decode(item.value);
    record.isOfLaterVersion = !decoded && LogHolders::isOfLaterVersion(item.value);
    if (record.isOfLaterVersion)
        record.known.reset();
    if (!decoded)
        return logWarning("log_holders_rejected",
            { { "group", group.text() }, { "revision", std::to_string(item.revision) }, { "value", item.value } });
    const bool isOfNewEra = storeEra::eraOf(item.revision) > storeEra::eraOf(record.knownRevision);
    // A copy from which the store was restored may lack holders that were added since.
    if (record.known && isOfNewEra)
        decoded->addAll(*record.known);
    // The store has shown its present state, so that nothing has to be read again after the restore.
    if (isOfNewEra)
        record.mustReload = false;
    record.knownRevision = item.revision;
    std::set<EndpointId> ids;
    for (const LogHolder& holder : decoded->all())
        ids.insert(holder.id);
    dispatcher_.setLogHolders(group, ids.size());
    record.known = std::move(decoded);
}

void LogHolderKeeper::onStoreEra()
{
    for (auto& [group, record] : records_)
        record.mustReload = true;
}

std::vector<EndpointEntry> LogHolderKeeper::listed(const GroupId& group) const
{
    std::vector<EndpointEntry> entries;
    for (const EndpointEntry* entry : directory_.endpointsOf(group))
        entries.push_back(*entry);
    return entries;
}

std::vector<EndpointEntry> LogHolderKeeper::reached(const std::vector<EndpointEntry>& entries) const
{
    std::vector<EndpointEntry> running;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(running),
        [this](const EndpointEntry& entry) { return dispatcher_.isReachable(entry.id); });
    return running;
}

LogHolders LogHolderKeeper::wanted(const GroupRecord& record, const std::vector<EndpointEntry>& entries,
    std::size_t synchronousReplicas, TimePoint now) const
{
    LogHolders holders = record.known.value_or(LogHolders());
    holders.addListed(entries);
    if (record.known)
        holders.lowerCopies(synchronousReplicas);
    // The entry of an endpoint that crashed stays beside that of its successor for a while.
    if (!record.known || (record.largerSince && now - *record.largerSince >= settings_.growthDelay))
        holders.raiseGroupSize(reached(entries));
    return holders;
}

void LogHolderKeeper::onTick(const GroupId& group, std::size_t synchronousReplicas, std::size_t rank, TimePoint now)
{
    GroupRecord& record = records_[group];
    // A new holder is recorded at once, also while the removal of another one is being confirmed.
    if (record.confirmation && record.known
        && wanted(record, listed(group), synchronousReplicas, now).encode() != record.stored)
        record.confirmation.reset();
    if (record.confirmation) {
        Confirmation& confirmation = *record.confirmation;
        if (now - confirmation.startedAt >= settings_.confirmTimeout)
            return endConfirmation(group, "too few replicas reached the position", now);
        if (confirmation.position && now - confirmation.askedAt >= settings_.confirmInterval)
            askReplicas(group, now);
        return;
    }
    if (record.isWriting || record.isOfLaterVersion || now < record.notBefore
        || now - record.checkedAt < settings_.checkInterval)
        return;
    record.checkedAt = now;
    const std::vector<EndpointEntry> entries = listed(group);
    if (entries.empty())
        return;
    noteListed(record, entries, now);
    const LogHolders target = wanted(record, entries, synchronousReplicas, now);
    const bool mustWrite = record.known && target.encode() != record.stored;
    const std::vector<LogHolder> candidates = target.replaceable(entries);
    const bool mustConfirm = !record.known || !candidates.empty() || record.known->copies() < synchronousReplicas;
    if (!mustConfirm && !mustWrite && !record.mustReload) {
        record.outdatedSince.reset();
        return;
    }
    if (!record.outdatedSince)
        record.outdatedSince = now;
    if (now - *record.outdatedSince < settings_.turnDelay * static_cast<int>(rank))
        return;
    if (record.mustReload)
        return reload(group);
    if (mustWrite)
        return write(group, target, "endpoints");
    if (now < record.confirmNotBefore)
        return;
    if (record.known || now - record.listedSince >= settings_.creationDelay)
        confirm(group, candidates, synchronousReplicas, now);
}

void LogHolderKeeper::noteListed(GroupRecord& record, const std::vector<EndpointEntry>& entries, TimePoint now) const
{
    std::set<EndpointId> ids;
    for (const EndpointEntry& entry : entries)
        ids.insert(entry.id);
    if (ids != record.listed) {
        record.listed = std::move(ids);
        record.listedSince = now;
        record.failures = 0;
        record.confirmNotBefore = now;
    }
    std::map<EndpointId, TimePoint> missing;
    for (const LogHolder& holder : record.known ? record.known->missingFrom(entries) : std::vector<LogHolder>())
        missing[holder.id] = record.missingSince.count(holder.id) > 0 ? record.missingSince.at(holder.id) : now;
    record.missingSince = std::move(missing);
    LogHolders larger = record.known.value_or(LogHolders());
    if (!record.known || !larger.raiseGroupSize(reached(entries)))
        record.largerSince.reset();
    else if (!record.largerSince)
        record.largerSince = now;
}

void LogHolderKeeper::confirm(
    const GroupId& group, std::vector<LogHolder> candidates, std::size_t synchronousReplicas, TimePoint now)
{
    GroupRecord& record = records_[group];
    const EndpointEntry* primary = directory_.primaryOf(group);
    if (!primary)
        return;
    record.confirmation = std::make_unique<Confirmation>();
    Confirmation& confirmation = *record.confirmation;
    confirmation.number = ++confirmations_;
    confirmation.candidates = std::move(candidates);
    confirmation.synchronousReplicas = synchronousReplicas;
    confirmation.primary = primary->id;
    confirmation.primaryStartedAt = primary->startedAt;
    confirmation.startedAt = now;
    probeCandidates(group, now);
}

void LogHolderKeeper::probeCandidates(const GroupId& group, TimePoint now)
{
    Confirmation& confirmation = *records_[group].confirmation;
    const std::vector<LogHolder> candidates = confirmation.candidates;
    for (const LogHolder& candidate : candidates) {
        // A listed id has started again, so that the former run has ended.
        if (directory_.find(candidate.id))
            continue;
        ++confirmation.pendingProbes;
        EndpointEntry entry;
        entry.id = candidate.id;
        entry.group = group;
        entry.address = candidate.address;
        entry.startedAt = candidate.startedAt;
        EndpointProbe::start(dispatcher_.connector(), timers_, entry, settings_.probeTimeout,
            [this, group, candidate, number = confirmation.number, alive = std::weak_ptr<int>(alive_)](
                EndpointPresence presence, TimePoint at) {
                if (!alive.expired())
                    onCandidateProbed(group, number, candidate, presence, at);
            });
    }
    if (confirmation.pendingProbes == 0)
        endProbe(group, now);
}

void LogHolderKeeper::onCandidateProbed(
    const GroupId& group, std::uint64_t number, const LogHolder& candidate, EndpointPresence presence, TimePoint now)
{
    GroupRecord& record = records_[group];
    if (!record.confirmation || record.confirmation->number != number)
        return;
    Confirmation& confirmation = *record.confirmation;
    const auto missing = record.missingSince.find(candidate.id);
    const bool isLongSilent = presence == EndpointPresence::Unknown && missing != record.missingSince.end()
        && now - missing->second >= settings_.silentHolderRetention;
    // An endpoint that is only cut off from the store still helps to acknowledge commits.
    if (presence != EndpointPresence::Ended && !isLongSilent)
        confirmation.candidates.erase(std::remove_if(confirmation.candidates.begin(), confirmation.candidates.end(),
                                          [&](const LogHolder& holder) {
                                              return holder.id == candidate.id
                                                  && holder.startedAt == candidate.startedAt;
                                          }),
            confirmation.candidates.end());
    if (--confirmation.pendingProbes == 0)
        endProbe(group, now);
}

void LogHolderKeeper::endProbe(const GroupId& group, TimePoint now)
{
    const GroupRecord& record = records_[group];
    const Confirmation& confirmation = *record.confirmation;
    const bool raisesCopies = !record.known || record.known->copies() < confirmation.synchronousReplicas;
    if (confirmation.candidates.empty() && !raisesCopies)
        return endConfirmation(group, "the endpoints may still run", now);
    askPrimary(group, now);
}

void LogHolderKeeper::askPrimary(const GroupId& group, TimePoint now)
{
    const Confirmation& confirmation = *records_[group].confirmation;
    dispatcher_.sendReplicationCommand(
        confirmation.primary, statusQuery(),
        [this, group, number = confirmation.number, alive = std::weak_ptr<int>(alive_)](
            const std::optional<EndpointReplicationStatus>& status, const std::string& detail, TimePoint at) {
            if (alive.expired())
                return;
            GroupRecord& running = records_[group];
            if (!running.confirmation || running.confirmation->number != number)
                return;
            if (!status || !status->isPrimary)
                return endConfirmation(group, status ? "the endpoint is not the primary" : detail, at);
            running.confirmation->position = status->received;
            askReplicas(group, at);
        },
        now);
}

void LogHolderKeeper::askReplicas(const GroupId& group, TimePoint now)
{
    Confirmation& confirmation = *records_[group].confirmation;
    confirmation.askedAt = now;
    if (confirmation.synchronousReplicas == 0)
        return endConfirmation(group, "", now);
    const std::uint64_t number = confirmation.number;
    for (const EndpointEntry& entry : listed(group)) {
        // The log of a leaving replica is gone with it.
        if (entry.id == confirmation.primary || entry.isLeaving || directory_.isLapsing(entry.id)
            || confirmation.confirmed.count(entry.id) > 0)
            continue;
        dispatcher_.sendReplicationCommand(
            entry.id, statusQuery(),
            [this, group, number, entry, alive = std::weak_ptr<int>(alive_)](
                const std::optional<EndpointReplicationStatus>& status, const std::string&, TimePoint at) {
                if (!alive.expired())
                    onReplica(group, number, entry, status, at);
            },
            now);
    }
}

void LogHolderKeeper::onReplica(const GroupId& group, std::uint64_t number, const EndpointEntry& replica,
    const std::optional<EndpointReplicationStatus>& status, TimePoint now)
{
    GroupRecord& record = records_[group];
    if (!record.confirmation || record.confirmation->number != number || !status)
        return;
    Confirmation& confirmation = *record.confirmation;
    if (status->isPrimary)
        return endConfirmation(group, "another endpoint leads", now);
    if (status->received < *confirmation.position)
        return;
    confirmation.confirmed[replica.id] = replica.startedAt;
    if (confirmation.confirmed.size() >= confirmation.synchronousReplicas)
        endConfirmation(group, "", now);
}

bool LogHolderKeeper::isStillListed(const Confirmation& confirmation) const
{
    const auto isListed = [this](const EndpointId& id, Milliseconds startedAt) {
        const EndpointEntry* entry = directory_.find(id);
        return entry && !directory_.isLapsing(id) && entry->startedAt == startedAt;
    };
    return isListed(confirmation.primary, confirmation.primaryStartedAt)
        && std::all_of(confirmation.confirmed.begin(), confirmation.confirmed.end(),
            [&](const auto& replica) { return isListed(replica.first, replica.second); });
}

void LogHolderKeeper::endConfirmation(const GroupId& group, const std::string& failure, TimePoint now)
{
    GroupRecord& record = records_[group];
    const std::unique_ptr<Confirmation> ended = std::move(record.confirmation);
    if (!failure.empty()) {
        logInfo("log_holders_not_confirmed",
            { { "group", group.text() }, { "endpoint", ended->primary.text() },
                { "candidates", toText(ended->candidates) }, { "detail", failure } });
        // Each confirmation asks every replica several times.
        const Duration pause = settings_.retryPause * (1 << std::min(record.failures++, 5));
        record.confirmNotBefore = now + std::min<Duration>(pause, settings_.longestRetryPause);
        return;
    }
    const std::vector<EndpointEntry> entries = listed(group);
    if (!isStillListed(*ended)) {
        record.confirmNotBefore = now + settings_.retryPause;
        return;
    }
    record.failures = 0;
    LogHolders holders = wanted(record, entries, ended->synchronousReplicas, now);
    holders.removeConfirmed(ended->candidates, entries);
    holders.confirm(*ended->position, ended->synchronousReplicas);
    write(group, holders, record.known ? "replaced" : "first");
}

void LogHolderKeeper::write(const GroupId& group, const LogHolders& holders, const std::string& reason)
{
    GroupRecord& record = records_[group];
    record.isWriting = true;
    StoreItem item;
    item.key = storeKeys::logHolders + group.text();
    item.value = holders.encode();
    StoreTransaction transaction;
    transaction.expected.push_back({ item.key, record.revision });
    transaction.puts.push_back({ item.key, item.value, {} });
    logInfo("log_holders_write",
        { { "group", group.text() }, { "reason", reason }, { "holders", toText(holders.all()) },
            { "record", item.value }, { "group_size", std::to_string(holders.groupSize()) },
            { "expected", std::to_string(record.revision) } });
    store_.transact(transaction,
        [this, group, item, alive = std::weak_ptr<int>(alive_)](const StoreResult<std::uint64_t>& result) mutable {
            if (alive.expired())
                return;
            GroupRecord& written = records_[group];
            written.isWriting = false;
            if (result) {
                item.revision = result.value();
                written.mustReload = false;
                return noteRecord(group, item);
            }
            logInfo("log_holders_not_written",
                { { "group", group.text() }, { "failure", toText(result.error().kind) },
                    { "detail", result.error().detail } });
            written.mustReload = true;
            written.notBefore = timers_.now() + settings_.retryPause;
        });
}

void LogHolderKeeper::reload(const GroupId& group)
{
    records_[group].isWriting = true;
    read(group, [this, group](const StoreResult<std::optional<LogHolders>>& result) {
        GroupRecord& record = records_[group];
        record.isWriting = false;
        record.mustReload = !result;
        if (!result)
            record.notBefore = timers_.now() + settings_.retryPause;
    });
}

void LogHolderKeeper::read(const GroupId& group, ReadCallback callback)
{
    const std::string key = storeKeys::logHolders + group.text();
    store_.readRange(key, "",
        [this, group, key, callback = std::move(callback), alive = std::weak_ptr<int>(alive_)](
            const StoreResult<StorePage>& page) {
            if (alive.expired())
                return;
            if (!page)
                return callback(page.error());
            const std::vector<StoreItem>& items = page.value().items;
            const auto item = std::find_if(
                items.begin(), items.end(), [&key](const StoreItem& candidate) { return candidate.key == key; });
            GroupRecord& record = records_[group];
            if (item != items.end()) {
                noteRecord(group, *item);
            } else {
                record.revision = 0;
                record.stored.clear();
            }
            callback(record.known);
        });
}

} // namespace almondlever

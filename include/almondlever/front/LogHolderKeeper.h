#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/failover/LogHolders.h"
#include "almondlever/pooling/EndpointProbe.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/store/MetadataStore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace almondlever {

/** Delays of the record of log holders. */
struct LogHolderSettings {
    /** Interval at which the record of a group is compared with the listed endpoints. */
    Milliseconds checkInterval { 250 };
    /**
     * Delay between consecutive owners of a group, so that usually only the first one writes: a write reaches the
     * others after a round trip to the store and the batching of its changes.
     */
    Milliseconds turnDelay { 900 };
    /** Interval at which replicas are asked again whether they have reached the position to be confirmed. */
    Milliseconds confirmInterval { 250 };
    /** Time for which the listed endpoints must stay the same before the first record: they register one by one. */
    Milliseconds creationDelay { 2000 };
    /** A confirmation is given up after this time. */
    Milliseconds confirmTimeout { 3000 };
    Milliseconds retryPause { 1000 };
    /** The pause doubles with each failed confirmation, up to this, until other endpoints are listed. */
    Milliseconds longestRetryPause { 20000 };
    /** Time in which a running endpoint accepts a connection. */
    Milliseconds probeTimeout { 1000 };
    /**
     * Time for which an endpoint without an entry is kept if nothing answers at its address: it may be cut off from the
     * store and from this daemon, and still help the primary to acknowledge commits.
     */
    Milliseconds silentHolderRetention { 60000 };
    /**
     * Time for which a larger number of listed endpoints must last until it is the size of the group: the entry of an
     * endpoint that crashed stays for three heartbeats and a grace period beside that of its successor.
     */
    Milliseconds growthDelay { 15000 };
};

/**
 * Keeps the records of log holders of the groups in the platform's store up to date, and reads them for a promotion.
 *
 * Every owner of a group does so, in turns; a record is replaced only if it has not changed since it was read. Writes
 * happen when endpoints join or leave, never for statements.
 *
 * @see LogHolders
 */
class LogHolderKeeper {
public:
    LogHolderKeeper(EndpointDirectory&, StatementDispatcher&, MetadataStore&, TimerService&, const LogHolderSettings&);
    ~LogHolderKeeper();
    LogHolderKeeper(const LogHolderKeeper&) = delete;
    LogHolderKeeper& operator=(const LogHolderKeeper&) = delete;

    /** To be called when the store shows a group's record. */
    void noteRecord(const GroupId&, const StoreItem&);
    /** To be called when the store was restored from an older copy, which may lack a record or hold an older one. */
    void onStoreEra();
    /** Updates the record if that is needed; `rank`: number of owners before this daemon. */
    void onTick(const GroupId&, std::size_t synchronousReplicas, std::size_t rank, TimePoint now);

    /** nullopt without a record. */
    using ReadCallback = std::function<void(StoreResult<std::optional<LogHolders>>)>;
    /**
     * Reads the record of a group, with the holders added that this daemon has seen in a former one: a store that was
     * restored from a copy may have an older record.
     */
    void read(const GroupId&, ReadCallback);

private:
    struct Confirmation;
    struct GroupRecord;

    std::vector<EndpointEntry> listed(const GroupId&) const;
    void noteListed(GroupRecord&, const std::vector<EndpointEntry>&, TimePoint now) const;
    /** Returns what the record should say before any holder is removed. */
    LogHolders wanted(
        const GroupRecord&, const std::vector<EndpointEntry>&, std::size_t synchronousReplicas, TimePoint now) const;
    /** Those of the entries to which this daemon has a connection. */
    std::vector<EndpointEntry> reached(const std::vector<EndpointEntry>&) const;
    void confirm(const GroupId&, std::vector<LogHolder> candidates, std::size_t synchronousReplicas, TimePoint now);
    /** Asks whether the candidates still run, then the primary for its position. */
    void probeCandidates(const GroupId&, TimePoint now);
    void onCandidateProbed(
        const GroupId&, std::uint64_t confirmation, const LogHolder&, EndpointPresence, TimePoint now);
    void endProbe(const GroupId&, TimePoint now);
    void askPrimary(const GroupId&, TimePoint now);
    void askReplicas(const GroupId&, TimePoint now);
    void onReplica(const GroupId&, std::uint64_t confirmation, const EndpointEntry& replica,
        const std::optional<EndpointReplicationStatus>&, TimePoint now);
    /** True if the endpoints that gave the evidence are listed, and have not started again since. */
    bool isStillListed(const Confirmation&) const;
    void endConfirmation(const GroupId&, const std::string& failure, TimePoint now);
    void write(const GroupId&, const LogHolders&, const std::string& reason);
    void reload(const GroupId&);

    EndpointDirectory& directory_;
    StatementDispatcher& dispatcher_;
    MetadataStore& store_;
    TimerService& timers_;
    LogHolderSettings settings_;
    std::map<GroupId, GroupRecord> records_;
    /** Number of the latest confirmation; answers to earlier ones do not count. */
    std::uint64_t confirmations_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace almondlever

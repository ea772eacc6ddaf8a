#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"
#include "almondlever/groups/EndpointEntry.h"

#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** One run of an endpoint, which begins with an empty log; its log may contain acknowledged commits. */
struct LogHolder {
    EndpointId id;
    /** Unix time of its start. A crashed endpoint that returns with its log keeps it. */
    Milliseconds startedAt { 0 };
    /** "ip:port". */
    std::string address {};
    /** Its last entry reported it as the primary. */
    bool isPrimary = false;
    /** It has announced that it leaves the group. */
    bool isLeaving = false;
    /** It was first listed while no endpoint was listed as the primary, so that it has copied no log since its start.
     */
    bool joinedWithoutPrimary = false;

    /** True if the entry is of the same run. */
    bool isSameRun(const EndpointEntry& entry) const { return id == entry.id && startedAt == entry.startedAt; }
};

/**
 * The endpoints of a group whose logs may contain acknowledged commits, as recorded in the platform's store.
 *
 * An acknowledged commit is in the logs of `1 + synchronousReplicas` of them, so among any
 * `holders - synchronousReplicas` logs at least one contains it. The record therefore grows with every listed endpoint,
 * and a missing entry alone removes nobody: removeConfirmed() states when a holder may be removed.
 *
 * @see LogHolderKeeper, docs/design/log-holders.md
 */
class LogHolders {
public:
    /** Decodes encode(); nullopt if the text is not such a record. */
    static std::optional<LogHolders> decode(const std::string& text);
    std::string encode() const;
    /** True if the text is a record of a later version, which must not be replaced. */
    static bool isOfLaterVersion(const std::string& text);

    const std::vector<LogHolder>& all() const { return holders_; }
    /** Number of endpoints that the group has apart from those that are gone or leaving. */
    std::size_t groupSize() const { return groupSize_; }
    /** Position up to which the listed holders were last known to hold every acknowledged commit. */
    const LogPosition& confirmedPosition() const { return confirmedPosition_; }
    /** Number of replicas that are known to hold each acknowledged commit; a configuration may ask for more since. */
    std::size_t copies() const { return copies_; }
    /** Number of logs that must be known before one of them can be promoted; at least 1. */
    std::size_t requiredLogs(std::size_t synchronousReplicas) const;
    /** Holders without an entry of the same run. */
    std::vector<LogHolder> missingFrom(const std::vector<EndpointEntry>& listed) const;

    /** Lowers the number of copies if the configuration asks for fewer; returns true if the record has changed. */
    bool lowerCopies(std::size_t synchronousReplicas);
    /** Adds listed endpoints, their role and announcements to leave; returns true if the record has changed. */
    bool addListed(const std::vector<EndpointEntry>& listed);
    /** Adds the holders of another record; returns true if this record has changed. */
    bool addAll(const LogHolders&);
    /** Raises the group size to the number of listed endpoints that stay; returns true if it has changed. */
    bool raiseGroupSize(const std::vector<EndpointEntry>& listed);
    /**
     * Holders that may be removed once the remaining ones are known to hold every acknowledged commit: former runs of
     * listed endpoints, those without an entry that have announced to leave, and, if the listed endpoints make up the
     * whole group, those that were replaced. Another one may only be cut off from the store, and then still helps to
     * acknowledge commits.
     */
    std::vector<LogHolder> replaceable(const std::vector<EndpointEntry>& listed) const;
    /**
     * Removes those of `candidates` that are replaceable. To be called after the primary, and `synchronousReplicas`
     * other listed holders, were found to have every commit up to a position that the primary reported while the
     * candidates were already replaceable. Returns the number of removed holders.
     */
    std::size_t removeConfirmed(const std::vector<LogHolder>& candidates, const std::vector<EndpointEntry>& listed);
    /** Records that evidence, with the number of other listed holders that gave it. */
    void confirm(const LogPosition& position, std::size_t copies);

private:
    std::vector<LogHolder> holders_;
    std::size_t groupSize_ = 0;
    LogPosition confirmedPosition_;
    std::size_t copies_ = 0;
};

/** The ids, separated by commas. */
std::string toText(const std::vector<LogHolder>&);

} // namespace almondlever

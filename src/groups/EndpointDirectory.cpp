#include "almondlever/groups/EndpointDirectory.h"

#include "almondlever/common/StoreEra.h"

#include <algorithm>

namespace almondlever {

std::vector<EndpointEntry> EndpointDirectory::replaceAll(const std::vector<EndpointEntry>& entries, TimePoint now)
{
    std::set<EndpointId> present;
    for (const EndpointEntry& entry : entries) {
        present.insert(entry.id);
        update(entry, now);
    }
    std::vector<EndpointEntry> missing;
    for (const auto& [id, listed] : endpoints_) {
        if (present.count(id) > 0)
            continue;
        if (!listed.lapsedAt)
            missing.push_back(listed.entry);
        lapse(id, listed.entry.revision, now);
    }
    return missing;
}

bool EndpointDirectory::isFromRestoredBackup(const EndpointEntry& entry, const EndpointEntry& known)
{
    if (storeEra::eraOf(entry.revision) <= storeEra::eraOf(known.revision))
        return false;
    if (entry.startedAt != known.startedAt)
        return entry.startedAt < known.startedAt;
    return entry.sequence < known.sequence;
}

void EndpointDirectory::update(const EndpointEntry& entry, TimePoint now)
{
    const auto known = endpoints_.find(entry.id);
    if (known != endpoints_.end() && entry.revision < known->second.entry.revision)
        return;
    // Ignores the old entry: the endpoint writes its current one to the restored store within seconds.
    if (known != endpoints_.end() && isFromRestoredBackup(entry, known->second.entry))
        return;
    const auto removedBefore = removed_.find(entry.id);
    const bool isOutdatedCopy = removedBefore != removed_.end()
        && storeEra::eraOf(entry.revision) > storeEra::eraOf(removedBefore->second.entry.revision)
        && entry.startedAt <= removedBefore->second.entry.startedAt
        && entry.sequence <= removedBefore->second.entry.sequence;
    if (isOutdatedCopy)
        return;
    if (removedBefore != removed_.end())
        removed_.erase(removedBefore);
    if (known != endpoints_.end() && known->second.entry.group != entry.group)
        removeMember(known->second.entry.group, entry.id);
    std::set<EndpointId>& members = membersOf_[entry.group];
    if (!members.empty() && members.count(entry.id) == 0)
        membersChangedAt_[entry.group] = now;
    members.insert(entry.id);
    Listed& listed = endpoints_[entry.id];
    const bool isRestarted = listed.entry.startedAt.count() != 0 && listed.entry.startedAt != entry.startedAt;
    if (isRestarted) {
        membersChangedAt_[entry.group] = now;
        Leadership& leadership = leadership_[entry.group];
        if (leadership.proven == entry.id)
            leadership.proven = EndpointId();
        listed.refusedAtRevision = 0;
    }
    if (!entry.reportsPrimary) {
        listed.primarySinceRevision = 0;
    } else if (listed.primarySinceRevision == 0) {
        listed.primarySinceRevision = entry.revision;
        listed.announcedAt = ++evidenceCount_;
        Leadership& leadership = leadership_[entry.group];
        if (leadership.proven != entry.id)
            leadership.otherAnnouncedAt = listed.announcedAt;
    }
    if (!entry.isLeaving)
        listed.leavingSince.reset();
    else if (!listed.leavingSince)
        listed.leavingSince = now;
    listed.entry = entry;
    listed.lapsedAt.reset();
}

void EndpointDirectory::lapse(const EndpointId& id, std::uint64_t revision, TimePoint now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || revision < found->second.entry.revision)
        return;
    if (!found->second.lapsedAt)
        found->second.lapsedAt = now;
}

void EndpointDirectory::restartGracePeriods(TimePoint now)
{
    for (auto& [id, listed] : endpoints_) {
        if (listed.lapsedAt)
            listed.lapsedAt = now;
    }
}

std::vector<EndpointEntry> EndpointDirectory::removeLapsed(TimePoint now)
{
    std::vector<EndpointEntry> removed;
    for (auto it = removed_.begin(); it != removed_.end();)
        it = now - it->second.since >= removedEntryRetention ? removed_.erase(it) : std::next(it);
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        if (!it->second.lapsedAt || now - *it->second.lapsedAt < lapseGrace) {
            ++it;
            continue;
        }
        removed.push_back(it->second.entry);
        removed_[it->first] = { it->second.entry, now };
        membersChangedAt_[it->second.entry.group] = now;
        removeMember(it->second.entry.group, it->first);
        it = endpoints_.erase(it);
    }
    return removed;
}

std::optional<TimePoint> EndpointDirectory::membersChangedAt(const GroupId& group) const
{
    const auto found = membersChangedAt_.find(group);
    return found == membersChangedAt_.end() ? std::nullopt : std::optional<TimePoint>(found->second);
}

const EndpointEntry* EndpointDirectory::find(const EndpointId& id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second.entry;
}

std::vector<const EndpointEntry*> EndpointDirectory::endpointsOf(const GroupId& group) const
{
    std::vector<const EndpointEntry*> entries;
    const auto members = membersOf_.find(group);
    if (members == membersOf_.end())
        return entries;
    entries.reserve(members->second.size());
    for (const EndpointId& id : members->second)
        entries.push_back(&endpoints_.at(id).entry);
    return entries;
}

std::set<GroupId> EndpointDirectory::groups() const
{
    std::set<GroupId> groups;
    for (const auto& [group, members] : membersOf_)
        groups.insert(groups.end(), group);
    return groups;
}

void EndpointDirectory::removeMember(const GroupId& group, const EndpointId& id)
{
    const auto members = membersOf_.find(group);
    if (members == membersOf_.end())
        return;
    members->second.erase(id);
    if (members->second.empty())
        membersOf_.erase(members);
}

bool EndpointDirectory::isLapsing(const EndpointId& id) const
{
    const auto found = endpoints_.find(id);
    return found != endpoints_.end() && found->second.lapsedAt.has_value();
}

std::optional<TimePoint> EndpointDirectory::leavingSince(const EndpointId& id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? std::nullopt : found->second.leavingSince;
}

void EndpointDirectory::noteLeading(const EndpointId& id, Term term)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    Leadership& leadership = leadership_[found->second.entry.group];
    leadership.newestTerm = std::max(leadership.newestTerm, term);
    if (term < leadership.provenTerm)
        return;
    found->second.refusedAtRevision = 0;
    leadership.proven = id;
    leadership.provenTerm = term;
    leadership.provenAt = ++evidenceCount_;
}

void EndpointDirectory::noteNotLeading(const EndpointId& id)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    found->second.refusedAtRevision = std::max<std::uint64_t>(found->second.entry.revision, 1);
    Leadership& leadership = leadership_[found->second.entry.group];
    if (leadership.proven == id)
        leadership.proven = EndpointId();
}

void EndpointDirectory::noteTerm(const GroupId& group, Term term)
{
    Leadership& leadership = leadership_[group];
    leadership.newestTerm = std::max(leadership.newestTerm, term);
}

const EndpointEntry* EndpointDirectory::primaryOf(const GroupId& group) const
{
    const auto leadership = leadership_.find(group);
    const Listed* best = nullptr;
    const auto members = membersOf_.find(group);
    if (members == membersOf_.end())
        return nullptr;
    for (const EndpointId& id : members->second) {
        const Listed& listed = endpoints_.at(id);
        const bool isRefused = listed.refusedAtRevision >= std::max<std::uint64_t>(listed.entry.revision, 1);
        if (!listed.entry.reportsPrimary || isRefused)
            continue;
        if (!best || listed.primarySinceRevision > best->primarySinceRevision)
            best = &listed;
    }
    if (leadership == leadership_.end() || leadership->second.proven.isEmpty())
        return best ? &best->entry : nullptr;
    const auto proven = endpoints_.find(leadership->second.proven);
    if (proven == endpoints_.end())
        return best ? &best->entry : nullptr;
    // An endpoint that announced itself as primary after the proven one last wrote its entry has probably taken over,
    // unless the proven one has answered as primary since: entries of partitioned endpoints arrive late.
    if (best && best->entry.id != proven->first && best->announcedAt > leadership->second.provenAt
        && best->primarySinceRevision > proven->second.entry.revision
        && best->primarySinceRevision > proven->second.primarySinceRevision)
        return &best->entry;
    return &proven->second.entry;
}

std::optional<Term> EndpointDirectory::provenTermOf(const GroupId& group, const EndpointId& id) const
{
    const auto found = leadership_.find(group);
    if (found == leadership_.end() || found->second.proven != id || id.isEmpty())
        return std::nullopt;
    const Leadership& leadership = found->second;
    if (leadership.otherAnnouncedAt > leadership.provenAt)
        return std::nullopt;
    return leadership.provenTerm == leadership.newestTerm ? std::optional<Term>(leadership.provenTerm) : std::nullopt;
}

Term EndpointDirectory::newestTermOf(const GroupId& group) const
{
    const auto found = leadership_.find(group);
    return found == leadership_.end() ? 0 : found->second.newestTerm;
}

} // namespace almondlever

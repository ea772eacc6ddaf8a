#include "almondlever/front/WriteHolds.h"

#include "almondlever/common/StoreEra.h"
#include "almondlever/observability/DecisionLog.h"

#include <algorithm>

namespace almondlever {

void WriteHolds::noteClaim(const GroupId& group, ClaimedWrites writes, std::uint64_t revision)
{
    GroupHold& hold = groups_[group];
    hold.isClaimed = true;
    hold.claimedWrites = writes;
    hold.claimRevision = revision;
    changed_.insert(group);
}

void WriteHolds::noteClaimEnded(const GroupId& group)
{
    groups_[group].isClaimed = false;
    changed_.insert(group);
}

void WriteHolds::noteRecord(const GroupId& group, bool isOpen, std::uint64_t revision)
{
    GroupHold& hold = groups_[group];
    // A restored store may lack the record, or show one from before the change with a revision of the new era.
    const std::uint64_t known = std::max(hold.recordRevision, hold.requestedFence);
    const bool isOfRestoredStore = revision == 0 || storeEra::eraOf(revision) > storeEra::eraOf(known);
    if (!isOpen && isOfRestoredStore && isHeld(hold)) {
        hold.requestedFence = std::max(known, revision);
        hold.requestedAt = TimePoint {};
    }
    hold.isRecordOpen = isOpen;
    hold.recordRevision = revision;
    changed_.insert(group);
}

bool WriteHolds::isNewer(const GroupId& group, std::uint64_t revision) const
{
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.recordRevision != 0 && found->second.recordRevision < revision;
}

void WriteHolds::request(const GroupId& group, std::uint64_t fence, TimePoint now)
{
    GroupHold& hold = groups_[group];
    if (fence <= hold.requestedFence)
        return;
    hold.requestedFence = fence;
    hold.requestedAt = now;
    changed_.insert(group);
    apply(now);
}

void WriteHolds::close(const GroupId& group, std::uint64_t fence)
{
    GroupHold& hold = groups_[group];
    hold.closedFence = std::max(hold.closedFence, fence);
    changed_.insert(group);
}

bool WriteHolds::isRequested(const GroupHold& hold)
{
    // The record of a change that has ended is written after its claim, and therefore has a higher revision.
    const bool hasEnded = !hold.isRecordOpen && hold.recordRevision > hold.requestedFence;
    return hold.requestedFence > hold.closedFence && !hasEnded;
}

bool WriteHolds::isHeld(const GroupHold& hold)
{
    const bool isOpen = hold.isRecordOpen && hold.recordRevision > hold.closedFence;
    const bool wasServed = hold.claimedWrites == ClaimedWrites::Served && hold.claimRevision >= hold.recordRevision;
    const bool mustHold = hold.isClaimed ? hold.claimedWrites == ClaimedWrites::Held : !wasServed;
    return (isOpen && mustHold) || isRequested(hold);
}

bool WriteHolds::isHeld(const GroupId& group) const
{
    const auto found = groups_.find(group);
    return found != groups_.end() && isHeld(found->second);
}

bool WriteHolds::isClosed(const GroupId& group, std::uint64_t recordRevision) const
{
    const auto found = groups_.find(group);
    return found != groups_.end() && recordRevision != 0 && found->second.closedFence >= recordRevision;
}

bool WriteHolds::isOrphaned(const GroupId& group, Duration limit, TimePoint now) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return false;
    const GroupHold& hold = found->second;
    return isRequested(hold) && !hold.isRecordOpen && !hold.isClaimed && now - hold.requestedAt >= limit;
}

void WriteHolds::apply(TimePoint now)
{
    const std::set<GroupId> changed = std::move(changed_);
    changed_.clear();
    for (const GroupId& group : changed) {
        const bool held = isHeld(group);
        if (held == dispatcher_.areWritesHeld(group))
            continue;
        const GroupHold& hold = groups_.at(group);
        logInfo(held ? "writes_held" : "writes_released",
            { { "group", group.text() }, { "record", hold.isRecordOpen ? "open" : "done" },
                { "record_revision", std::to_string(hold.recordRevision) },
                { "claim",
                    !hold.isClaimed ? "none" : (hold.claimedWrites == ClaimedWrites::Held ? "holds" : "serves") },
                { "requested_fence", std::to_string(hold.requestedFence) },
                { "closed_fence", std::to_string(hold.closedFence) } });
        dispatcher_.holdWrites(group, held, now);
    }
}

} // namespace almondlever

#include "almondlever/failover/GroupPromotion.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Number of replicas that hold an acknowledged commit. */
    std::size_t copiesOf(std::size_t synchronousReplicas)
    {
        // Without synchronous replicas no number of logs is safe; all but the primary's lose the least.
        return std::max<std::size_t>(synchronousReplicas, 1);
    }

} // namespace

std::size_t GroupPromotion::requiredLogs() const
{
    std::set<EndpointId> ids;
    for (const PromotionMember& member : members_)
        ids.insert(member.id);
    for (const LogHolder& holder : missingHolders())
        ids.insert(holder.id);
    const std::size_t copies = copiesOf(synchronousReplicas_);
    return ids.size() > copies ? ids.size() - copies : 1;
}

bool GroupPromotion::hasEnoughLogs(const std::map<EndpointId, LogPosition>& compared) const
{
    return missingHolders_ && !compared.empty() && idsNotIn(compared).size() <= copiesOf(synchronousReplicas_);
}

std::set<EndpointId> GroupPromotion::idsNotIn(const std::map<EndpointId, LogPosition>& compared) const
{
    // The copies of one commit are on endpoints with different ids, so that former runs of one id count once.
    std::set<EndpointId> ids;
    for (const PromotionMember& member : members_) {
        if (compared.count(member.id) == 0)
            ids.insert(member.id);
    }
    for (const LogHolder& holder : missingHolders()) {
        if (!isComparedAsSuccessor(holder, compared))
            ids.insert(holder.id);
    }
    return ids;
}

bool GroupPromotion::isComparedAsSuccessor(
    const LogHolder& holder, const std::map<EndpointId, LogPosition>& compared) const
{
    if (!holder.isPrimary || holder.address.empty())
        return false;
    return std::any_of(members_.begin(), members_.end(), [&](const PromotionMember& member) {
        // Under its own id, an endpoint that starts again holds nothing of before.
        const bool isSuccessor = member.address == holder.address && member.id != holder.id
            && member.startedAt > holder.startedAt && member.joinedWithoutPrimary;
        const auto position = compared.find(member.id);
        return isSuccessor && position != compared.end() && position->second >= confirmedPosition_;
    });
}

GroupPromotion::Orders GroupPromotion::onMembers(const std::vector<PromotionMember>& members)
{
    Orders orders;
    for (const PromotionMember& member : members) {
        if (isFinished() || phase_ == Phase::Resuming)
            break;
        const auto known = std::find_if(members_.begin(), members_.end(),
            [&member](const PromotionMember& candidate) { return candidate.id == member.id; });
        if (known != members_.end() && known->startedAt == member.startedAt)
            continue;
        if (known != members_.end())
            forgetRun(*known, member.startedAt);
        else
            members_.push_back({ member.id, false, member.isLeaving, member.startedAt, member.address });
        noteListed(member);
        const bool areReplicasPaused = !steppedDownPosition_
            && (phase_ == Phase::Fencing || phase_ == Phase::CatchingUp || phase_ == Phase::Promoting
                || phase_ == Phase::Confirming);
        if (!areReplicasPaused) {
            orders.push_back({ Order::Kind::QueryStatus, member.id, 0 });
            continue;
        }
        orders.push_back({ Order::Kind::Pause, member.id, pauseTerm_ });
        unansweredPauses_.insert(member.id);
        handOverPosition_.reset();
    }
    return isFinished() ? Orders() : orders;
}

void GroupPromotion::noteListed(const PromotionMember& member)
{
    if (!missingHolders_)
        return;
    missingHolders_->erase(
        std::remove_if(missingHolders_->begin(), missingHolders_->end(),
            [&](const LogHolder& holder) { return holder.id == member.id && holder.startedAt == member.startedAt; }),
        missingHolders_->end());
}

void GroupPromotion::forgetRun(PromotionMember& member, Milliseconds startedAt)
{
    if (missingHolders_)
        missingHolders_->push_back({ member.id, member.startedAt, {}, false, member.isLeaving });
    const bool wasPrimary = member.isPrimary;
    member.startedAt = startedAt;
    member.isPrimary = false;
    pausedPositions_.erase(member.id);
    reportedPositions_.erase(member.id);
    unreachable_.erase(member.id);
    const bool isCalled = phase_ == Phase::Promoting || phase_ == Phase::Confirming;
    // The platform names endpoints by their id, so that the call may promote the empty log: only a call with a newer
    // fencing token prevents it.
    if (member.id == chosen_)
        leaveToRecovery("the chosen endpoint started again without its log");
    else if (wasPrimary && !isCalled)
        leaveToRecovery("the primary started again without its log");
}

} // namespace almondlever

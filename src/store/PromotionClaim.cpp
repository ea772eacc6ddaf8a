#include "almondlever/store/PromotionClaim.h"

#include "almondlever/common/EscapedWord.h"
#include "almondlever/common/StoreEra.h"
#include "almondlever/observability/DecisionLog.h"

#include <sstream>

namespace almondlever {

std::string RecordedLeader::encode(const std::optional<RecordedLeader>& leader)
{
    if (!leader)
        return storeKeys::changeDone;
    return storeKeys::changeDone + ' ' + toWord(leader->id.text()) + ' ' + std::to_string(leader->term);
}

std::optional<RecordedLeader> RecordedLeader::decode(const std::string& text)
{
    std::istringstream words(text);
    std::string state;
    std::string id;
    RecordedLeader leader;
    if (!(words >> state >> id >> leader.term) || state != storeKeys::changeDone)
        return std::nullopt;
    leader.id = EndpointId(fromWord(id));
    return leader;
}

PromotionClaim::PromotionClaim(MetadataStore& store, TimerService& timers, GroupId group, std::string holder)
    : store_(store)
    , timers_(timers)
    , group_(std::move(group))
    , holder_(std::move(holder))
{
}

PromotionClaim::~PromotionClaim() = default;

ClaimedWrites PromotionClaim::writesUnder(const std::string& claimValue)
{
    std::istringstream words(claimValue);
    std::string holder;
    std::string attempt;
    std::string mark;
    words >> holder >> attempt >> mark;
    if (mark == storeKeys::claimHolds)
        return ClaimedWrites::Held;
    return mark == storeKeys::claimServes ? ClaimedWrites::Served : ClaimedWrites::Unknown;
}

std::string PromotionClaim::valueWith(const std::string& mark) const
{
    return holder_ + ' ' + std::to_string(attempt_) + ' ' + mark;
}

bool PromotionClaim::isHeld(TimePoint now) const
{
    return fence_ != 0 && !isReleased_ && !isLeaseInvalid_ && now - renewedAt_ < maxRenewalAge;
}

void PromotionClaim::noteEra(std::uint64_t era)
{
    // The lease is granted before the fencing token; a restore may come in between, so the lease's era decides.
    if (!lease_.isNone() && lease_.era < era)
        isLeaseInvalid_ = true;
}

void PromotionClaim::prepare(std::uint64_t attempt)
{
    attempt_ = attempt;
    leaseRequestedAt_ = timers_.now();
    store_.grantLease(leaseDuration, [this, alive = std::weak_ptr<int>(alive_)](const StoreResult<StoreLease>& result) {
        if (alive.expired())
            return;
        leaseResult_ = result;
        if (callback_)
            writeClaim();
    });
}

void PromotionClaim::acquire(std::uint64_t recordRevision, ClaimCallback callback, bool holdsWrites)
{
    recordRevision_ = recordRevision;
    value_ = valueWith(holdsWrites ? storeKeys::claimHolds : storeKeys::claimServes);
    callback_ = std::move(callback);
    if (leaseResult_)
        writeClaim();
}

void PromotionClaim::holdWrites()
{
    value_ = valueWith(storeKeys::claimHolds);
    isHoldWritten_ = false;
    writeHold();
}

void PromotionClaim::writeHold()
{
    StoreTransaction transaction;
    transaction.expected.push_back({ storeKeys::changes + group_.text(), fence_ });
    transaction.puts.push_back({ claimKey(), value_, lease_ });
    store_.transact(transaction, [this, alive = std::weak_ptr<int>(alive_)](const StoreResult<std::uint64_t>& result) {
        if (alive.expired() || isReleased_)
            return;
        isHoldWritten_ = static_cast<bool>(result);
        // Otherwise the claim is lost, and the change is given up with it.
        if (result || result.error().kind == StoreFailure::Kind::Conflict
            || result.error().kind == StoreFailure::Kind::LeaseGone)
            return;
        timers_.callAfter(releaseRetryInterval, [this, alive](TimePoint) {
            if (!alive.expired() && !isReleased_)
                writeHold();
        });
    });
}

void PromotionClaim::writeClaim()
{
    if (!*leaseResult_)
        return finish(leaseResult_->error());
    lease_ = leaseResult_->value().id;
    renewedAt_ = leaseRequestedAt_;
    StoreTransaction transaction;
    transaction.expected.push_back({ claimKey(), 0 });
    transaction.expected.push_back({ storeKeys::changes + group_.text(), recordRevision_ });
    transaction.puts.push_back({ claimKey(), value_, lease_ });
    transaction.puts.push_back({ storeKeys::changes + group_.text(), storeKeys::changeOpen, {} });
    store_.transact(transaction, [this, alive = std::weak_ptr<int>(alive_)](const StoreResult<std::uint64_t>& claimed) {
        if (!alive.expired())
            onClaimed(claimed);
    });
}

void PromotionClaim::onClaimed(const StoreResult<std::uint64_t>& result)
{
    if (result) {
        scheduleRenewal();
        return finish(result.value());
    }
    if (result.error().kind == StoreFailure::Kind::NoAnswer)
        return readBack();
    finish(result.error());
}

void PromotionClaim::readBack()
{
    // The claim may have been written although the answer was lost.
    store_.readRange(claimKey(), "", [this, alive = std::weak_ptr<int>(alive_)](const StoreResult<StorePage>& result) {
        if (alive.expired())
            return;
        if (!result)
            return finish(result.error());
        for (const StoreItem& item : result.value().items) {
            const bool isOfLease = storeEra::eraOf(item.revision) == lease_.era;
            if (item.key != claimKey() || item.value != value_ || !isOfLease)
                continue;
            scheduleRenewal();
            return finish(item.revision);
        }
        finish(StoreFailure { StoreFailure::Kind::NoAnswer, "the claim was not written" });
    });
}

void PromotionClaim::finish(StoreResult<std::uint64_t> result)
{
    if (result)
        fence_ = result.value();
    const ClaimCallback callback = std::move(callback_);
    callback_ = nullptr;
    if (callback)
        callback(std::move(result));
}

void PromotionClaim::scheduleRenewal()
{
    timers_.callAfter(renewInterval, [this, alive = std::weak_ptr<int>(alive_)](TimePoint now) {
        if (alive.expired() || isReleased_)
            return;
        store_.renewLease(lease_, [this, alive, sentAt = now](const StoreResult<Done>& result) {
            if (alive.expired())
                return;
            if (result)
                renewedAt_ = sentAt;
            else if (result.error().kind == StoreFailure::Kind::LeaseGone)
                isLeaseInvalid_ = true;
            if (!result)
                logWarning("promotion_claim_not_renewed",
                    { { "group", group_.text() }, { "fence", std::to_string(fence_) },
                        { "failure", toText(result.error().kind) }, { "detail", result.error().detail } });
        });
        scheduleRenewal();
    });
}

void PromotionClaim::release(bool isDone, const std::optional<RecordedLeader>& leader)
{
    if (isReleased_)
        return;
    isReleased_ = true;
    if (fence_ == 0)
        return;
    // The record was opened together with the claim, and each later claim writes it again.
    StoreTransaction transaction;
    transaction.expected.push_back({ storeKeys::changes + group_.text(), fence_ });
    transaction.deletes.push_back(claimKey());
    if (isDone)
        transaction.puts.push_back({ storeKeys::changes + group_.text(), RecordedLeader::encode(leader), {} });
    isReleasing_ = true;
    writeRelease(transaction);
}

void PromotionClaim::writeRelease(const StoreTransaction& transaction)
{
    store_.transact(
        transaction, [this, transaction, alive = std::weak_ptr<int>(alive_)](const StoreResult<std::uint64_t>& result) {
            if (alive.expired())
                return;
            isReleasing_ = !result && result.error().kind != StoreFailure::Kind::Conflict;
            if (result)
                return;
            // After a conflict the record belongs to a later claim, or an earlier request of this one was carried out.
            logWarning("promotion_claim_not_released",
                { { "group", group_.text() }, { "failure", toText(result.error().kind) },
                    { "detail", result.error().detail } });
            if (!isReleasing_)
                return;
            timers_.callAfter(releaseRetryInterval, [this, transaction, alive](TimePoint) {
                if (!alive.expired())
                    writeRelease(transaction);
            });
        });
}

} // namespace almondlever

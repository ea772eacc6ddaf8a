#include "almondlever/store/PromotionClaim.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>
#include <memory>
#include <optional>

using namespace almondlever;

namespace {

const GroupId group("ledger");
const RecordedLeader leader { EndpointId("b"), 2 };
/** Time within which a release is repeated once the store answers. */
constexpr Milliseconds repeatLimit { 3000 };

/** A store and a claim that is held. */
struct HeldClaim {
    FakeTimerService timers;
    FakeMetadataStore store { timers };
    std::unique_ptr<PromotionClaim> claim = std::make_unique<PromotionClaim>(store, timers, group, "vm-1");

    HeldClaim()
    {
        claim->prepare(1);
        claim->acquire(0, [](const StoreResult<std::uint64_t>&) {});
        timers.advance(Milliseconds(100));
        cr_assert(claim->isHeld(timers.now()));
    }

    std::string record() const { return store.valueOf(storeKeys::changes + "ledger"); }
};

} // namespace

// Guards against a finished change whose record stays open, and a needless recovery that holds the group's writes,
// because the store failed for a moment.
Test(ClaimRelease, isRepeatedWhileTheStoreFails)
{
    HeldClaim held;
    held.store.isDown = true;
    held.claim->release(true, leader);
    held.timers.advance(Milliseconds(1000));
    held.store.isDown = false;
    held.timers.advance(repeatLimit);
    cr_expect_eq(held.record(), RecordedLeader::encode(leader));
    cr_expect(!held.store.has(storeKeys::claims + "ledger"));
}

// Guards against the same when the store gives no answer and has not carried the release out.
Test(ClaimRelease, isRepeatedWithoutAnAnswer)
{
    HeldClaim held;
    held.store.losesTransactions = true;
    held.claim->release(true, leader);
    held.timers.advance(Milliseconds(1000));
    held.store.losesTransactions = false;
    held.timers.advance(repeatLimit);
    cr_expect_eq(held.record(), RecordedLeader::encode(leader));
}

// Guards against a release that fails for ever because the claim's lease has ended meanwhile: the record, not the key
// of the claim, shows that no later claim exists.
Test(ClaimRelease, isRepeatedAfterTheLeaseHasEnded)
{
    HeldClaim held;
    held.store.isDown = true;
    held.claim->release(true, leader);
    held.timers.advance(PromotionClaim::leaseDuration * 2);
    cr_assert(!held.store.has(storeKeys::claims + "ledger"));
    held.store.isDown = false;
    held.timers.advance(repeatLimit);
    cr_expect_eq(held.record(), RecordedLeader::encode(leader));
}

// Guards against a group that waits for the end of a lease, because the release of an open change was not repeated.
Test(ClaimRelease, ofAnOpenChangeIsRepeated)
{
    HeldClaim held;
    held.store.isDown = true;
    held.claim->release(false);
    held.timers.advance(Milliseconds(500));
    held.store.isDown = false;
    held.timers.advance(Milliseconds(1000));
    cr_expect(!held.store.has(storeKeys::claims + "ledger"));
    cr_expect_eq(held.record(), storeKeys::changeOpen);
}

#include "almondlever/store/PromotionClaim.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>
#include <optional>

using namespace almondlever;

namespace {

const GroupId group("ledger");

struct Fixture {
    FakeTimerService timers;
    FakeMetadataStore store { timers };
    PromotionClaim first { store, timers, group, "vm-1" };
    PromotionClaim second { store, timers, group, "vm-2" };

    std::uint64_t acquire(PromotionClaim& claim, std::uint64_t attempt = 1)
    {
        std::uint64_t fence = 0;
        claim.prepare(attempt);
        claim.acquire(
            store.revisionOf(storeKeys::changes + "ledger"), [&fence](const StoreResult<std::uint64_t>& result) {
                if (result)
                    fence = result.value();
            });
        timers.advance(Milliseconds(100));
        return fence;
    }
};

} // namespace

// Guards against two daemons that change a primary at the same time.
Test(PromotionClaim, isExclusive)
{
    Fixture fixture;
    cr_assert_neq(fixture.acquire(fixture.first), 0U);
    cr_assert_eq(fixture.acquire(fixture.second), 0U);
    cr_assert(fixture.first.isHeld(fixture.timers.now()));
    cr_assert(!fixture.second.isHeld(fixture.timers.now()));
}

// Guards against a fencing token that does not increase from one holder to the next.
Test(PromotionClaim, fencingTokenIncreases)
{
    Fixture fixture;
    const std::uint64_t first = fixture.acquire(fixture.first);
    fixture.first.release(true);
    fixture.timers.advance(Milliseconds(100));
    cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), storeKeys::changeDone);
    cr_assert_gt(fixture.acquire(fixture.second), first);
}

// Guards against a claim that blocks the group after its holder has died, and against losing the record of the change.
Test(PromotionClaim, endsWithItsHolder)
{
    FakeTimerService timers;
    FakeMetadataStore store { timers };
    {
        PromotionClaim dying { store, timers, group, "vm-1" };
        dying.prepare(1);
        dying.acquire(0, [](const StoreResult<std::uint64_t>&) {});
        timers.advance(Milliseconds(100));
        cr_assert(store.has(storeKeys::claims + "ledger"));
    }
    timers.advance(PromotionClaim::leaseDuration + Milliseconds(100));
    cr_assert(!store.has(storeKeys::claims + "ledger"));
    cr_assert_eq(store.valueOf(storeKeys::changes + "ledger"), storeKeys::changeOpen);
}

// Guards against a change that begins with an outdated leader: another daemon changed the primary after the record was
// read.
Test(PromotionClaim, isNotAcquiredOverALaterChange)
{
    Fixture fixture;
    const std::uint64_t read = fixture.store.revisionOf(storeKeys::changes + "ledger");
    fixture.store.put(storeKeys::changes + "ledger", "done b 2");
    std::optional<StoreFailure::Kind> failure;
    fixture.first.prepare(1);
    fixture.first.acquire(read, [&failure](const StoreResult<std::uint64_t>& result) {
        if (!result)
            failure = result.error().kind;
    });
    fixture.timers.advance(Milliseconds(100));
    cr_assert(failure == StoreFailure::Kind::Conflict);
    cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), "done b 2");
}

// Guards against a holder that keeps acting although its renewals fail and the lease may have ended.
Test(PromotionClaim, holderStopsWhenRenewalsFail)
{
    Fixture fixture;
    fixture.acquire(fixture.first);
    fixture.timers.advance(Milliseconds(4000));
    cr_assert(fixture.first.isHeld(fixture.timers.now()), "renewals succeed");
    fixture.store.isDown = true;
    fixture.timers.advance(PromotionClaim::leaseDuration);
    cr_assert(!fixture.first.isHeld(fixture.timers.now()));
}

// Guards against treating a claim as failed that was written although the answer was lost.
Test(PromotionClaim, lostAnswerIsReadBack)
{
    Fixture fixture;
    fixture.store.losesAnswers = true;
    cr_assert_neq(fixture.acquire(fixture.first), 0U);
    cr_assert(fixture.first.isHeld(fixture.timers.now()));
}

// Guards against mistaking the claim of an earlier attempt for the current one.
Test(PromotionClaim, claimOfAnotherAttemptIsNotUsed)
{
    Fixture fixture;
    fixture.store.put(storeKeys::claims + "ledger", "vm-1 1");
    fixture.store.losesAnswers = true;
    cr_assert_eq(fixture.acquire(fixture.first, 2), 0U);
}

// Guards against a release that is repeated after its first answer was lost, and overwrites what a later claim
// recorded.
Test(PromotionClaim, releaseWhoseAnswerIsLostOverwritesNoLaterRecord)
{
    Fixture fixture;
    fixture.acquire(fixture.first);
    fixture.store.losesAnswers = true;
    fixture.first.release(true, RecordedLeader { EndpointId("b"), 2 });
    fixture.timers.advance(Milliseconds(20));
    fixture.store.losesAnswers = false;
    cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), "done b 2");
    cr_assert_neq(fixture.acquire(fixture.second), 0U);
    fixture.timers.advance(Milliseconds(10000));
    cr_expect(fixture.second.isHeld(fixture.timers.now()));
    cr_expect_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), storeKeys::changeOpen);
}

// Guards against a release that arrives late and closes the record, or ends the claim, of a later change.
Test(PromotionClaim, lateReleaseOverwritesNoLaterRecord)
{
    for (const std::string& later : { storeKeys::changeOpen, std::string("done c 9") }) {
        Fixture fixture;
        fixture.acquire(fixture.first);
        fixture.store.isDown = true;
        fixture.first.release(true, RecordedLeader { EndpointId("b"), 2 });
        fixture.timers.advance(PromotionClaim::leaseDuration + Milliseconds(100));
        fixture.store.put(storeKeys::claims + "ledger", "vm-2 1");
        fixture.store.put(storeKeys::changes + "ledger", later);
        fixture.store.isDown = false;
        fixture.timers.advance(Milliseconds(10000));
        cr_expect_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), later);
        cr_expect_eq(fixture.store.valueOf(storeKeys::claims + "ledger"), "vm-2 1");
    }
}

#include "almondlever/front/LogHolderKeeper.h"
#include "almondlever/store/PromotionClaim.h"
#include "mocks/DispatcherFixture.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

struct Fixture : DispatcherFixture {
    FakeMetadataStore store { timers };
    LogHolderKeeper keeper { directory, dispatcher, store, timers, {} };
    const std::string key = storeKeys::logHolders + "ledger";
    const EndpointId d { "d" };

    Fixture() { endpoints.replicates = true; }

    void run(Duration by)
    {
        const TimePoint end = timers.now() + by;
        while (timers.now() < end) {
            advance(Milliseconds(25));
            directory.removeLapsed(timers.now());
            dispatcher.onDirectoryChange(timers.now());
            keeper.onTick(group, 1, 0, timers.now());
        }
    }

    LogHolders record() const { return LogHolders::decode(store.valueOf(key)).value_or(LogHolders()); }
};

} // namespace

// Guards against a first record that counts a crashed endpoint beside its successor: its entry stays for three
// heartbeats and a grace period. The group would want a log that nobody has, for good.
Test(LogHolderKeeper, firstRecordDoesNotCountACrashedEndpointBesideItsSuccessor)
{
    Fixture fixture;
    fixture.endpoints.crash(fixture.c);
    fixture.directory.update(fixture.entryOf(fixture.d), fixture.timers.now());
    fixture.run(Milliseconds(3600));
    fixture.directory.lapse(fixture.c, fixture.directory.find(fixture.c)->revision, fixture.timers.now());
    fixture.run(Milliseconds(60000));
    cr_expect_eq(fixture.record().groupSize(), 3U);
    cr_expect_eq(fixture.record().all().size(), 3U);
}

#include "almondlever/front/StoreRelay.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

/** Time in which a configuration must be in force everywhere. */
constexpr Milliseconds applyLimit { 5000 };

/** A daemon whose sources are of the former version: they send all items at once, over one slow link. */
class FormerSources final : public PrefixObserver, public PeerNetwork {
public:
    FormerSources()
        : relay(makeSettings(), { &follower })
    {
        // The store turns this daemon away.
        store.isDown = true;
        follower.start();
        relay.setNetwork(this);
        MembershipView view;
        for (const char* name : { "a", "b", "c" })
            view.daemons.push_back({ VmId(name), FailureDomainId(name), "x", false, 0 });
        relay.setMembers(view);
        cr_assert(!relay.isWatcher());
    }

    void run(Duration by)
    {
        for (const TimePoint end = timers.now() + by; timers.now() < end;) {
            timers.advance(Milliseconds(25));
            relay.onTick(timers.now());
        }
    }

    bool send(const VmId& to, const std::string&, const Message& message) override
    {
        const auto* request = std::get_if<StoreUpdateRequest>(&message);
        if (!request)
            return false;
        StoreUpdate update;
        update.prefix = "op/";
        update.revision = update.reportedRevision = item.revision;
        update.number = request->number;
        linkFreeAt = std::max(linkFreeAt, timers.now());
        if (request->known[0].revision < item.revision) {
            update.items = { item };
            update.isSnapshot = true;
            linkFreeAt += copyTime;
            ++copies;
        }
        timers.callAfter(linkFreeAt - timers.now() + Milliseconds(1),
            [this, to, update](TimePoint now) { relay.onUpdate(to, update, now); });
        return true;
    }
    void onStoreSnapshot(const std::string&, const std::vector<StoreItem>& items, std::uint64_t, TimePoint) override
    {
        received = items.at(0).value;
    }
    void onStoreChanges(const std::string&, const std::vector<StoreItem>&, std::uint64_t, TimePoint) override { }
    void onStoreReturned(const std::string&, TimePoint) override { }
    void onStoreLost(const std::string&, const StoreFailure&, TimePoint) override { }
    Result<Done, std::string> listen() override { return Done {}; }
    bool isConnected(const VmId&) const override { return true; }
    void onMessage(MessageHandler) override { }
    void onLoss(LossHandler) override { }
    void onUnsent(UnsentHandler) override { }
    std::uint64_t bytesTransferred() const override { return 0; }
    PeerTraffic traffic() const override { return {}; }
    void stop() override { }

    FakeTimerService timers;
    FakeMetadataStore store { timers };
    PrefixFollower follower { store, timers, "op/", Milliseconds(50), *this };
    StoreRelay relay;
    StoreItem item { "op/config", "1", 100 };
    Milliseconds copyTime { 900 };
    TimePoint linkFreeAt {};
    std::size_t copies = 0;
    std::string received;

private:
    static StoreRelaySettings makeSettings()
    {
        for (const char* name : { "a", "b", "c" }) {
            StoreRelaySettings settings;
            settings.self = VmId(name);
            settings.tree.watchers = 2;
            MembershipView view;
            for (const char* other : { "a", "b", "c" })
                view.daemons.push_back({ VmId(other), FailureDomainId(other), "x", false, 0 });
            if (!positionInUpdateTree(view, settings.self, settings.tree).isWatcher)
                return settings;
        }
        cr_assert_fail("one of three daemons is no watcher");
    }
};

} // namespace

// A copy of a large update takes longer than a source may be silent. Guards against a daemon that drops each complete
// copy since it has queried another source meanwhile, during an upgrade from the former version.
Test(FormerSources, lateCopiesOfLargeUpdatesAreUsed)
{
    FormerSources sources;
    sources.run(Milliseconds(3000));
    cr_assert_eq(sources.received, "1");
    for (int version = 2; version < 5; ++version) {
        sources.item.value = std::to_string(version);
        ++sources.item.revision;
        sources.copies = 0;
        sources.run(applyLimit);
        cr_assert_eq(sources.received, sources.item.value);
        cr_assert_leq(sources.copies, 2U, "each source sends it once at most");
    }
}

#pragma once

#include "FakeMetadataStore.h"
#include "almondlever/front/StoreRelay.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondlever {

/** Several daemons that follow one store, and a network that can be partitioned. */
class FakeFleet {
public:
    struct Daemon final : PrefixObserver, PeerNetwork {
        Daemon(FakeFleet& owner, const VmId& vm, StoreRelaySettings settings)
            : fleet(owner)
            , id(vm)
            , store(owner.timers)
            , follower(store, owner.timers, "op/", Milliseconds(50), *this)
            , relay(settings, { &follower })
        {
            relay.setNetwork(this);
        }

        void onStoreSnapshot(
            const std::string& prefix, const std::vector<StoreItem>& items, std::uint64_t revision, TimePoint) override
        {
            relay.cacheOf(prefix).applySnapshot(items, revision);
            ++snapshots;
            take(items);
        }
        void onStoreChanges(
            const std::string& prefix, const std::vector<StoreItem>& items, std::uint64_t revision, TimePoint) override
        {
            relay.cacheOf(prefix).applyChanges(items, revision);
            take(items);
        }
        void onStoreReturned(const std::string&, TimePoint) override { }
        void onStoreLost(const std::string&, const StoreFailure&, TimePoint) override { }
        void take(const std::vector<StoreItem>& items)
        {
            for (const StoreItem& item : items)
                configuration = item.value;
        }

        Result<Done, std::string> listen() override { return Done {}; }
        bool send(const VmId& to, const std::string&, const Message& message) override
        {
            const auto target = fleet.daemons.find(to);
            if (target == fleet.daemons.end() || isCut || target->second->isCut)
                return false;
            const std::string encoded = encodeMessage(message);
            const auto decoded = decodeMessage(encoded);
            cr_assert(decoded.hasValue());
            fleet.timers.callAfter(fleet.transmit(*this, *target->second, encoded.size()) + Milliseconds(1),
                [from = id, daemon = target->second.get(), message = decoded.value()](TimePoint now) {
                    const auto* request = std::get_if<StoreUpdateRequest>(&message);
                    if (request)
                        daemon->requesters.insert(from);
                    if (request)
                        daemon->relay.onRequest(from, *request, now);
                    if (const auto* update = std::get_if<StoreUpdate>(&message)) {
                        if (daemon->onStoreUpdate)
                            daemon->onStoreUpdate(*update);
                        daemon->relay.onUpdate(from, *update, now);
                    }
                    if (const auto* partRequest = std::get_if<StorePartRequest>(&message))
                        daemon->relay.onPartRequest(from, *partRequest);
                    const auto* part = std::get_if<StorePart>(&message);
                    if (part)
                        ++daemon->partsReceived;
                    if (part)
                        daemon->relay.onPart(from, *part, now);
                });
            return true;
        }
        bool isConnected(const VmId&) const override { return true; }
        void onMessage(MessageHandler) override { }
        void onLoss(LossHandler) override { }
        void onUnsent(UnsentHandler) override { }
        std::uint64_t bytesTransferred() const override { return 0; }
        PeerTraffic traffic() const override { return {}; }
        void stop() override { }

        FakeFleet& fleet;
        VmId id;
        FakeMetadataStore store;
        PrefixFollower follower;
        StoreRelay relay;
        std::string configuration;
        std::size_t snapshots = 0;
        std::size_t bytesReceived = 0;
        std::size_t partsReceived = 0;
        std::set<VmId> requesters;
        std::function<void(const StoreUpdate&)> onStoreUpdate;
        TimePoint uplinkFreeAt {};
        TimePoint downlinkFreeAt {};
        bool isCut = false;
    };

    /** Five daemons in as many failure domains. */
    FakeFleet()
        : FakeFleet({ "a", "b", "c", "d", "e" }, 5, UpdateTreeSettings().childrenPerRelay)
    {
    }

    FakeFleet(const std::vector<std::string>& names, std::size_t domains, std::size_t children,
        Milliseconds storeDelay = Milliseconds(4))
    {
        tree.watchers = 2;
        tree.childrenPerRelay = children;
        std::size_t number = 0;
        for (const std::string& name : names) {
            StoreRelaySettings settings;
            settings.self = VmId(name);
            settings.tree = tree;
            daemons[VmId(name)] = std::make_unique<Daemon>(*this, VmId(name), settings);
            daemons[VmId(name)]->store.delay = storeDelay;
            view.daemons.push_back({ VmId(name), FailureDomainId(std::to_string(number++ % domains)), "x", false, 0 });
        }
        put("1");
        for (auto& [id, daemon] : daemons) {
            daemon->follower.start();
            daemon->relay.setMembers(view);
        }
        run(Milliseconds(3000));
    }

    /** Writes to the fake stores of all daemons, which represent one store. */
    void put(const std::string& value)
    {
        for (auto& [id, daemon] : daemons)
            daemon->store.put("op/config", value);
    }

    void run(Duration by)
    {
        const TimePoint end = timers.now() + by;
        while (timers.now() < end) {
            timers.advance(Milliseconds(25));
            for (auto& [id, daemon] : daemons)
                daemon->relay.onTick(timers.now());
        }
    }

    std::vector<Daemon*> others()
    {
        std::vector<Daemon*> found;
        for (auto& [id, daemon] : daemons) {
            if (!daemon->relay.isWatcher())
                found.push_back(daemon.get());
        }
        return found;
    }
    std::vector<Daemon*> watchers()
    {
        std::vector<Daemon*> found;
        for (auto& [id, daemon] : daemons) {
            if (daemon->relay.isWatcher())
                found.push_back(daemon.get());
        }
        return found;
    }

    /** Returns how long a message takes on the links of both daemons, behind those that were sent before. */
    Duration transmit(Daemon& from, Daemon& to, std::size_t bytes)
    {
        to.bytesReceived += bytes;
        if (bytesPerSecond == 0)
            return Duration(0);
        const TimePoint now = timers.now();
        const auto time = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(bytesPerSecond)));
        from.uplinkFreeAt = std::max(from.uplinkFreeAt, now) + time;
        to.downlinkFreeAt = std::max(from.uplinkFreeAt, to.downlinkFreeAt + time);
        return to.downlinkFreeAt - now;
    }

    /** Bandwidth of the link of each daemon; 0 for no limit. */
    std::size_t bytesPerSecond = 0;
    FakeTimerService timers;
    std::map<VmId, std::unique_ptr<Daemon>> daemons;
    MembershipView view;
    UpdateTreeSettings tree;
};

} // namespace almondlever

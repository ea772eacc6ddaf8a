#pragma once

#include "almondlever/membership/Membership.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace almondlever {

/** Daemons on a network in virtual time, with counts of what each transfers. */
class FakeFleet {
public:
    explicit FakeFleet(std::size_t size, std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t place = 0; place < size; ++place)
            list_.push_back(entry(place));
        for (std::size_t place = 0; place < size; ++place)
            boot(list_[place], true);
    }

    static VmListEntry entry(std::size_t number)
    {
        return { VmId("vm-" + std::to_string(100000 + number)), VmState::Live,
            FailureDomainId("domain-" + std::to_string(number % 15)),
            "10." + std::to_string(number / 256) + '.' + std::to_string(number % 256) + ".1:7100" };
    }

    /** Starts a daemon; one that joins later knows the VM list as the platform shows it. */
    std::size_t boot(const VmListEntry& vm, bool readsList)
    {
        const std::size_t place = nodes_.size();
        const LiveDaemon self { vm.id, vm.failureDomain, vm.peerAddress, false };
        nodes_.push_back({ self, std::make_unique<Membership>(self, MembershipSettings {}, random_(), now) });
        placeOf_[vm.id] = place;
        if (readsList)
            carryOut(place, nodes_[place].membership->onVmList(list_, listVersion_, now));
        events_.push({ now + randomSpan(tick), ++order_, place, place, {}, true });
        return place;
    }

    void run(Duration span)
    {
        const TimePoint end = now + span;
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            now = event.at;
            handle(event);
        }
        now = end;
    }

    /** Time until a condition holds, checked every 50 ms; the limit when it never does. */
    Duration timeUntil(const std::function<bool()>& isReached, Duration limit)
    {
        const TimePoint start = now;
        while (!isReached() && now - start < limit)
            run(Milliseconds(50));
        return now - start;
    }

    void kill(std::size_t place) { nodes_[place].isRunning = false; }
    bool isRunning(std::size_t place) const { return nodes_[place].isRunning; }
    std::size_t size() const { return nodes_.size(); }
    Membership& at(std::size_t place) { return *nodes_[place].membership; }
    const LiveDaemon& self(std::size_t place) const { return nodes_[place].self; }

    /** Delivers events to one daemon from outside the network. */
    void deliver(std::size_t place, const LiveDaemon& from, const Gossip& gossip)
    {
        carryOut(place, nodes_[place].membership->onGossip(from, gossip, now));
    }
    void readList(std::size_t place, const std::vector<VmListEntry>& list, std::uint64_t version)
    {
        carryOut(place, nodes_[place].membership->onVmList(list, version, now));
    }
    void leave(std::size_t place) { carryOut(place, nodes_[place].membership->leave(now)); }
    void lose(std::size_t place, const VmId& peer) { carryOut(place, nodes_[place].membership->onPeerLost(peer, now)); }

    /** True when every running daemon but those excluded satisfies a condition. */
    bool all(const std::function<bool(Membership&)>& condition, std::size_t excluded = ~std::size_t { 0 })
    {
        for (std::size_t place = 0; place < nodes_.size(); ++place) {
            if (place != excluded && nodes_[place].isRunning && !condition(*nodes_[place].membership))
                return false;
        }
        return true;
    }
    bool allSee(std::size_t size)
    {
        return all([size](Membership& membership) { return membership.view().daemons.size() == size; });
    }
    bool allMiss(const VmId& id)
    {
        return all([&id](Membership& membership) { return !membership.contains(id); });
    }

    void resetCounts()
    {
        for (Node& node : nodes_)
            node.bytes = node.messages = 0;
        largest = 0;
        countedSince_ = now;
    }
    double secondsCounted() const { return std::chrono::duration<double>(now - countedSince_).count(); }
    /** Bytes sent and received, with headers and the opening of channels. */
    std::uint64_t bytes(std::size_t place) const { return nodes_[place].bytes; }
    /** Messages sent. */
    std::uint64_t messages(std::size_t place) const { return nodes_[place].messages; }

    TimePoint now = TimePoint(std::chrono::hours(1));
    /** Messages for which this is false are lost. */
    std::function<bool(std::size_t from, std::size_t to)> isConnected = [](std::size_t, std::size_t) { return true; };
    /** Channels used within the last minute. */
    std::size_t openChannels() const
    {
        return std::count_if(channels_.begin(), channels_.end(),
            [this](const auto& channel) { return now - channel.second <= std::chrono::seconds(60); });
    }
    /** Size of the largest message sent since the counts were reset. */
    std::size_t largest = 0;
    std::vector<VmListEntry>& list() { return list_; }

private:
    static constexpr Milliseconds tick { 50 };

    struct Node {
        LiveDaemon self;
        std::unique_ptr<Membership> membership;
        bool isRunning = true;
        std::uint64_t bytes = 0;
        std::uint64_t messages = 0;
    };
    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::size_t from;
        std::size_t to;
        std::shared_ptr<const Gossip> gossip;
        bool isTick;
        bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    Duration randomSpan(Milliseconds longest)
    {
        return std::chrono::microseconds(random_() % static_cast<std::uint64_t>(longest.count() * 1000));
    }

    void handle(const Event& event)
    {
        Node& node = nodes_[event.to];
        if (!node.isRunning)
            return;
        if (event.isTick) {
            carryOut(event.to, node.membership->onTick(now));
            events_.push({ now + tick, ++order_, event.to, event.to, {}, true });
            return;
        }
        carryOut(event.to, node.membership->onGossip(nodes_[event.from].self, *event.gossip, now));
    }

    /** Charges both ends for opening a channel that is new or was closed after idling for a minute. */
    void useChannel(std::size_t from, std::size_t to)
    {
        // WebSocket upgrade, Hello and proof of both sides, and the headers of about ten packets.
        constexpr std::uint64_t openingBytes = 420 + 350 + 400;
        const auto [channel, isNew] = channels_.emplace(std::minmax(from, to), now);
        if (isNew || now - channel->second > std::chrono::seconds(60)) {
            nodes_[from].bytes += openingBytes;
            nodes_[to].bytes += openingBytes;
        }
        channel->second = now;
    }

    void carryOut(std::size_t from, GossipActions actions)
    {
        for (GossipAction& action : actions) {
            // Frame header, mask, and the 40 bytes of TCP and IP headers are counted on top of the message.
            const std::size_t bytes = encodeMessage(action.gossip).size() + 8 + 40;
            largest = std::max(largest, bytes);
            nodes_[from].bytes += bytes;
            ++nodes_[from].messages;
            const auto to = placeOf_.find(action.to);
            if (to != placeOf_.end()) {
                nodes_[to->second].bytes += bytes;
                useChannel(from, to->second);
            }
            if (to == placeOf_.end() || !isConnected(from, to->second))
                continue;
            const auto latency = Milliseconds(1) + randomSpan(Milliseconds(12));
            events_.push({ now + latency, ++order_, from, to->second,
                std::make_shared<const Gossip>(std::move(action.gossip)), false });
        }
    }

    std::mt19937_64 random_;
    std::vector<VmListEntry> list_;
    std::uint64_t listVersion_ = 1;
    std::vector<Node> nodes_;
    std::map<VmId, std::size_t> placeOf_;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> channels_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    TimePoint countedSince_ = now;
};

} // namespace almondlever

#pragma once

#include "almondlever/membership/Membership.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace almondlever {

/** Simulates daemons and their network in virtual time and counts the traffic of each daemon. */
class FakeFleet {
public:
    explicit FakeFleet(std::size_t size, std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t index = 0; index < size; ++index)
            list_.push_back(entry(index));
        for (std::size_t index = 0; index < size; ++index)
            boot(list_[index], true);
    }

    static VmListEntry entry(std::size_t number)
    {
        return { VmId("vm-" + std::to_string(100000 + number)), VmState::Live,
            FailureDomainId("domain-" + std::to_string(number % 15)),
            "10." + std::to_string(number / 256) + '.' + std::to_string(number % 256) + ".1:7100" };
    }

    /** Starts a daemon. With readsList it is given the current VM list. */
    std::size_t boot(const VmListEntry& vm, bool readsList)
    {
        const std::size_t index = nodes_.size();
        const LiveDaemon self { vm.id, vm.failureDomain, vm.peerAddress, false };
        nodes_.push_back({ self, std::make_unique<Membership>(self, MembershipSettings {}, random_(), now) });
        indexOf_[vm.id] = index;
        if (readsList)
            send(index, nodes_[index].membership->onVmList(list_, listVersion_, now));
        events_.push({ now + randomDuration(tick), ++order_, index, index, {}, true });
        return index;
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

    /** Runs until a condition holds, checked every 50 ms, and returns the time taken; the limit if it never holds. */
    Duration timeUntil(const std::function<bool()>& isReached, Duration limit)
    {
        const TimePoint start = now;
        while (!isReached() && now - start < limit)
            run(Milliseconds(50));
        return now - start;
    }

    void kill(std::size_t index) { nodes_[index].isRunning = false; }
    bool isRunning(std::size_t index) const { return nodes_[index].isRunning; }
    std::size_t size() const { return nodes_.size(); }
    Membership& at(std::size_t index) { return *nodes_[index].membership; }
    const LiveDaemon& self(std::size_t index) const { return nodes_[index].self; }

    /** Delivers a message to one daemon directly, without the simulated network. */
    void deliver(std::size_t index, const LiveDaemon& from, const Gossip& gossip)
    {
        send(index, nodes_[index].membership->onGossip(from, gossip, now));
    }
    void deliverVmList(std::size_t index, const std::vector<VmListEntry>& list, std::uint64_t version)
    {
        send(index, nodes_[index].membership->onVmList(list, version, now));
    }
    void leave(std::size_t index) { send(index, nodes_[index].membership->leave(now)); }
    void breakChannel(std::size_t index, const VmId& peer)
    {
        send(index, nodes_[index].membership->onPeerLost(peer, now));
    }

    /** True if every running daemon except the excluded one satisfies a condition. */
    bool all(const std::function<bool(Membership&)>& condition, std::size_t excluded = ~std::size_t { 0 })
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (index != excluded && nodes_[index].isRunning && !condition(*nodes_[index].membership))
                return false;
        }
        return true;
    }
    bool allViewsHaveSize(std::size_t size)
    {
        return all([size](Membership& membership) { return membership.view().daemons.size() == size; });
    }
    bool noneContains(const VmId& id)
    {
        return all([&id](Membership& membership) { return !membership.contains(id); });
    }

    void resetCounts()
    {
        for (Node& node : nodes_)
            node.bytes = node.messages = 0;
        largestMessageBytes = 0;
        countedSince_ = now;
    }
    double secondsCounted() const { return std::chrono::duration<double>(now - countedSince_).count(); }
    /** Bytes sent and received, including headers and the opening of channels. */
    std::uint64_t bytes(std::size_t index) const { return nodes_[index].bytes; }
    /** Number of messages sent. */
    std::uint64_t messages(std::size_t index) const { return nodes_[index].messages; }

    TimePoint now = TimePoint(std::chrono::hours(1));
    /** Messages between daemons for which this returns false are lost. */
    std::function<bool(std::size_t from, std::size_t to)> isConnected = [](std::size_t, std::size_t) { return true; };
    /** Number of channels used within the last minute. */
    std::size_t openChannels() const
    {
        return std::count_if(channels_.begin(), channels_.end(),
            [this](const auto& channel) { return now - channel.second <= std::chrono::seconds(60); });
    }
    /** Size of the largest message sent since the counts were reset. */
    std::size_t largestMessageBytes = 0;
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

    Duration randomDuration(Milliseconds longest)
    {
        return std::chrono::microseconds(random_() % static_cast<std::uint64_t>(longest.count() * 1000));
    }

    void handle(const Event& event)
    {
        Node& node = nodes_[event.to];
        if (!node.isRunning)
            return;
        if (event.isTick) {
            send(event.to, node.membership->onTick(now));
            events_.push({ now + tick, ++order_, event.to, event.to, {}, true });
            return;
        }
        send(event.to, node.membership->onGossip(nodes_[event.from].self, *event.gossip, now));
    }

    /** Charges both ends for opening a channel that is new or was closed after idling for a minute. */
    void useChannel(std::size_t from, std::size_t to)
    {
        // WebSocket upgrade, the Hello and proof of both sides, and the headers of about ten packets.
        constexpr std::uint64_t openingBytes = 420 + 350 + 400;
        const auto [channel, isNew] = channels_.emplace(std::minmax(from, to), now);
        if (isNew || now - channel->second > std::chrono::seconds(60)) {
            nodes_[from].bytes += openingBytes;
            nodes_[to].bytes += openingBytes;
        }
        channel->second = now;
    }

    void send(std::size_t from, GossipActions actions)
    {
        for (GossipAction& action : actions) {
            // Adds 8 bytes of frame header and mask and 40 bytes of TCP and IP headers to the message.
            const std::size_t bytes = encodeMessage(action.gossip).size() + 8 + 40;
            largestMessageBytes = std::max(largestMessageBytes, bytes);
            nodes_[from].bytes += bytes;
            ++nodes_[from].messages;
            const auto to = indexOf_.find(action.to);
            if (to != indexOf_.end()) {
                nodes_[to->second].bytes += bytes;
                useChannel(from, to->second);
            }
            if (to == indexOf_.end() || !isConnected(from, to->second))
                continue;
            const auto latency = Milliseconds(1) + randomDuration(Milliseconds(12));
            events_.push({ now + latency, ++order_, from, to->second,
                std::make_shared<const Gossip>(std::move(action.gossip)), false });
        }
    }

    std::mt19937_64 random_;
    std::vector<VmListEntry> list_;
    std::uint64_t listVersion_ = 1;
    std::vector<Node> nodes_;
    std::map<VmId, std::size_t> indexOf_;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> channels_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    TimePoint countedSince_ = now;
};

} // namespace almondlever

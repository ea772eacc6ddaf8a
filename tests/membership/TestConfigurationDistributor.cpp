#include "almondlever/membership/ConfigurationDistributor.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const TimePoint start { std::chrono::hours(1) };
const ConfigurationHolder first { 7, VmId("first"), "10.0.0.1:1" };
const ConfigurationHolder second { 7, VmId("second"), "10.0.0.2:1" };

std::string someBytes() { return std::string(configurationChunkBytes, 'a') + std::string(1000, 'b'); }

ConfigurationDistributor holderOf(std::uint64_t version, const std::string& bytes)
{
    ConfigurationDistributor spread;
    spread.setCurrent(version, bytes);
    return spread;
}

} // namespace

// Guards against chunks that are lost, duplicated or assembled in the wrong order.
Test(ConfigurationDistributor, fetchesAllChunks)
{
    const ConfigurationDistributor server = holderOf(7, someBytes());
    ConfigurationDistributor client;
    auto request = client.onVersionAdvertised(first, start);
    std::size_t requests = 0;
    while (request) {
        ++requests;
        const auto reply = server.onRequest(request->request);
        cr_assert(reply.has_value());
        const auto next = client.onReply(first.holder, *reply, start);
        cr_assert(!client.onReply(first.holder, *reply, start));
        request = next;
    }
    cr_assert(requests == 2);
    const auto received = client.takeReceived();
    cr_assert(received.has_value());
    cr_assert(received->version == 7 && received->bytes == someBytes() && received->from == first.holder);
}

// Guards against a daemon that returns to an older configuration (P9).
Test(ConfigurationDistributor, neverReturnsToOlderVersion)
{
    ConfigurationDistributor spread = holderOf(9, "nine");
    spread.setCurrent(8, "eight");
    cr_assert(spread.currentVersion() == 9);
    cr_assert(!spread.onVersionAdvertised(first, start));
    cr_assert(!spread.onRequest({ 9, 0 }));
    cr_assert(spread.onRequest({ 8, 0 })->bytes == "nine");
}

// Guards against a fetch that hangs on a peer that died or stopped answering.
Test(ConfigurationDistributor, asksAnotherPeerAfterTimeoutOrLoss)
{
    ConfigurationDistributor spread;
    cr_assert(spread.onVersionAdvertised(first, start)->to == first.holder);
    cr_assert(!spread.onVersionAdvertised(second, start));
    cr_assert(!spread.onTick(start + Milliseconds(900)));
    cr_assert(spread.onTick(start + Milliseconds(1000))->to == second.holder);
    cr_assert(!spread.onReply(first.holder, { 7, 0, 1, "late" }, start + Milliseconds(1001)));
    spread.onVersionAdvertised(first, start + Milliseconds(1100));
    cr_assert(spread.onPeerLost(second.holder, start + Milliseconds(1200))->to == first.holder);
}

// Guards against a mixture of two versions when the peer changes its configuration between two chunks.
Test(ConfigurationDistributor, startsAgainWhenVersionChanges)
{
    ConfigurationDistributor client;
    client.onVersionAdvertised(first, start);
    const auto next = client.onReply(first.holder, *holderOf(7, someBytes()).onRequest({ 0, 0 }), start);
    const ConfigurationDistributor newer = holderOf(8, std::string(2 * configurationChunkBytes, 'c'));
    auto request = client.onReply(first.holder, *newer.onRequest(next->request), start);
    while (request)
        request = client.onReply(first.holder, *newer.onRequest(request->request), start);
    const auto received = client.takeReceived();
    cr_assert(received->version == 8 && received->bytes == std::string(2 * configurationChunkBytes, 'c'));
}

// Guards against fetching an invalid configuration from the same peer again and again.
Test(ConfigurationDistributor, doesNotFetchRejectedVersionAgain)
{
    ConfigurationDistributor spread;
    spread.onVersionAdvertised(first, start);
    spread.onReply(first.holder, { 7, 0, 1, "bad" }, start);
    spread.reject(7, spread.takeReceived()->from);
    cr_assert(!spread.onVersionAdvertised(first, start));
    cr_assert(spread.onVersionAdvertised(second, start)->to == second.holder);
}

// Guards against truncated chunks and sizes that exhaust memory.
Test(ConfigurationDistributor, triesNextPeerAfterMalformedReply)
{
    ConfigurationDistributor spread;
    spread.onVersionAdvertised(first, start);
    spread.onVersionAdvertised(second, start);
    cr_assert(spread.onReply(first.holder, { 7, 0, 2, "short" }, start)->to == second.holder);
    cr_assert(!spread.onReply(second.holder, { 7, 0, 1U << 20U, "x" }, start));
    cr_assert(!spread.takeReceived());
}

// Guards against sending the whole configuration for each small change, which exceeds the control budget at design
// size.
Test(ConfigurationDistributor, sendsOnlyWhatChanged)
{
    std::string changed = someBytes();
    changed.insert(5000, "one more endpoint");
    std::string changedAgain = changed;
    changedAgain.erase(changedAgain.size() - 500, 20);
    ConfigurationDistributor server = holderOf(5, someBytes());
    server.setCurrent(6, changed);
    const auto step = server.onRequest({ 5, 0, true });
    cr_assert(step->patch && step->bytes.size() <= 17);
    server.setCurrent(7, changedAgain);
    // A peer that does not accept patches gets the whole configuration.
    cr_assert(!server.onRequest({ 6, 0, false })->patch);

    for (const auto& [version, bytes] : { std::make_pair(std::uint64_t { 5 }, someBytes()), { 6, changed } }) {
        ConfigurationDistributor client = holderOf(version, bytes);
        auto request = client.onVersionAdvertised(first, start);
        for (std::size_t replies = 0; request && replies < 3; ++replies)
            request = client.onReply(first.holder, *server.onRequest(request->request), start);
        const auto received = client.takeReceived();
        cr_assert(received.has_value());
        cr_assert(received->version == 7 && received->bytes == changedAgain);
    }
}

// Guards against applying a patch to other bytes than those it was made for (P9).
Test(ConfigurationDistributor, fetchesWholeConfigurationWhenPatchDoesNotFit)
{
    ConfigurationDistributor server = holderOf(6, "the configuration six");
    server.setCurrent(7, "the configuration seven");
    ConfigurationDistributor client = holderOf(6, "another configuration six");
    const auto request = client.onVersionAdvertised(first, start);
    const auto patch = server.onRequest(request->request);
    cr_assert(patch->patch.has_value());
    const auto again = client.onReply(first.holder, *patch, start);
    cr_assert(again.has_value() && !again->request.acceptsPatch);
    cr_assert(!client.onReply(first.holder, *server.onRequest(again->request), start));
    cr_assert(client.takeReceived()->bytes == "the configuration seven");
}

// Guards against lengths in a patch that exceed the current configuration.
Test(ConfigurationDistributor, refusesPatchWithWrongLengths)
{
    ConfigurationDistributor client = holderOf(6, "six");
    client.onVersionAdvertised(first, start);
    const ConfigReply reply { 7, 0, 1, "", ConfigPatch { 6, 4000000000, 4000000000, std::string(32, 'x') } };
    cr_assert(!client.onReply(first.holder, reply, start)->request.acceptsPatch);
    cr_assert(!client.takeReceived());
}

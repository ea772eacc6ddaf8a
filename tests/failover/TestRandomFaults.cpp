#include "FakeGroup.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace almondlever;
using namespace almondlever::test;

namespace {

const std::vector<std::string> nodes { "s0", "s1", "s2", "v0", "v1", "v2", "d0", "d1", "d2" };

/** Applies one fault or repair, selected by the numbers that RapidCheck generated. */
void disturb(FakeGroup& group, std::set<std::string>& crashed, std::set<std::string>& paused, int kind, int place)
{
    const std::string any = nodes[static_cast<std::size_t>(place % 9)];
    const std::string node = nodes[static_cast<std::size_t>(place % 6)];
    const std::string daemon = nodes[static_cast<std::size_t>(3 + place % 3)];
    const std::string kinds[] = { "raise_term_reply", "promote_reply", "promote", "follow", "announce", "report" };
    const std::string& message = kinds[place % 6];
    switch (kind) {
    case 0:
        group.cut({ any }, {});
        break;
    case 1:
        group.cut({ any }, { nodes[static_cast<std::size_t>((place + 1) % 9)] });
        break;
    case 2:
    case 3:
        group.heal();
        break;
    case 4:
        if (crashed.erase(daemon) > 0) {
            group.restart(daemon);
        } else {
            crashed.insert(daemon);
            group.crash(daemon);
        }
        break;
    case 5:
    case 6:
        if (paused.erase(node) > 0) {
            group.resume(node);
        } else {
            paused.insert(node);
            group.pause(node);
        }
        break;
    case 7:
        group.lag("s" + std::to_string(place % 3), Milliseconds(place % 2 * 800));
        break;
    case 8:
        group.addFault({ message, MessageFault::Effect::Lose, 2, Milliseconds(0) });
        break;
    case 9:
        group.addFault({ message, MessageFault::Effect::Delay, 2, Milliseconds(1500) });
        break;
    default:
        group.leave({ EndpointId("s" + std::to_string(place % 3)) });
        break;
    }
}

void repair(FakeGroup& group, const std::set<std::string>& crashed, const std::set<std::string>& paused)
{
    group.heal();
    group.setLoss(0);
    group.leave({});
    for (const std::string& node : paused)
        group.resume(node);
    for (const std::string& daemon : crashed)
        group.restart(daemon);
    for (const std::string server : { "s0", "s1", "s2" })
        group.lag(server, Milliseconds(0));
}

} // namespace

// Guards against the loss of an acknowledged write (P2) under any sequence of messages and faults, and against a group
// that does not return to one primary with two followers after the faults end.
Test(RandomFaults, loseNoAcknowledgedWrite)
{
    const bool holds = rc::check([] {
        GroupOptions options;
        options.seed = *rc::gen::inRange<std::uint32_t>(0, 1000000);
        options.jitter = Milliseconds(*rc::gen::inRange(0, 60));
        options.loss = *rc::gen::inRange(0, 10) / 100.0;
        options.doubled = *rc::gen::inRange(0, 30) / 100.0;
        options.writeInterval = Milliseconds(25);
        const auto faults = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 11), rc::gen::inRange(0, 90), rc::gen::inRange(1, 1200)));
        FakeGroup group(options);
        std::set<std::string> crashed;
        std::set<std::string> paused;
        Milliseconds at { 1000 };
        group.runUntil(at);
        for (const auto& [kind, place, wait] : faults) {
            disturb(group, crashed, paused, kind, place);
            at += Milliseconds(wait);
            group.runUntil(at);
        }
        repair(group, crashed, paused);
        const std::size_t before = group.acknowledgements().size();
        group.runUntil(at + Milliseconds(10000));
        if (!group.violations().empty())
            RC_FAIL(group.violations().front());
        RC_ASSERT(!group.agreedPrimary().empty());
        RC_ASSERT(group.strayServers().empty());
        RC_ASSERT(group.acknowledgements().size() > before);
    });
    cr_assert(holds);
}

#include "almondlever/common/Time.h"
#include "soak/StandinGroup.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::soak;

namespace {

const TimePoint start { std::chrono::hours(1) };

/** Three endpoints; a leads, and c receives nothing. */
struct Replicated {
    asio::io_context context;
    PromiseChecker checker;
    StandinGroup group { context, checker, GroupId("ledger"), 1, OddData::None };
    std::size_t acknowledged = 0;

    Replicated()
    {
        for (const char* id : { "a", "b", "c" }) {
            const std::uint16_t port
                = asio::ip::tcp::acceptor(context, { asio::ip::address_v4::loopback(), 0 }).local_endpoint().port();
            cr_assert_eq(group.add(EndpointId(id)).start(port), "");
        }
        group.setFirstLeader(EndpointId("a"));
        group.find(EndpointId("c"))->faults().isDeaf = true;
    }

    void commit(const std::string& token)
    {
        checker.noteCommitAsked({ token });
        group.commit({ token }, [this] { ++acknowledged; });
        group.tick(start);
    }
};

} // namespace

// Planted: the replica that received nothing is promoted while the log with the acknowledged commit is down.
Test(StandinGroup, findsThePromotionOfADeafReplica)
{
    Replicated replicated;
    replicated.commit("w1");
    cr_assert_eq(replicated.acknowledged, 1U);
    replicated.group.find(EndpointId("a"))->crash();
    replicated.group.promote(EndpointId("b"));
    cr_assert(replicated.checker.violations().empty());
    replicated.group.find(EndpointId("b"))->crash();
    replicated.group.promote(EndpointId("c"));
    cr_assert_eq(replicated.checker.violations().size(), 1U);
    cr_assert_eq(replicated.checker.violations()[0].rfind("lost_commit:", 0), 0U);
}

// Guards against a commit that waits for a replica and counts as acknowledged, and against a restarted primary that
// still leads and takes the commits from its replicas.
Test(StandinGroup, losesTheLogOfARestartedPrimaryOnly)
{
    Replicated replicated;
    replicated.commit("w1");
    replicated.group.find(EndpointId("b"))->faults().isDeaf = true;
    replicated.commit("w2");
    cr_assert_eq(replicated.acknowledged, 1U);
    StandinEndpoint& primary = *replicated.group.find(EndpointId("a"));
    replicated.group.loseLog(primary.id());
    cr_assert_eq(primary.start(primary.port()), "");
    cr_assert(primary.log().empty());
    cr_assert_not(replicated.group.leads(primary));
    replicated.group.find(EndpointId("b"))->faults().isDeaf = false;
    replicated.group.tick(start);
    cr_assert_eq(replicated.acknowledged, 1U);
    replicated.group.promote(EndpointId("b"));
    replicated.group.tick(start);
    cr_assert_eq(primary.log().size(), 1U);
    cr_assert(replicated.checker.violations().empty());
}

// Guards against a promotion that takes effect when it is called, so that nothing is acknowledged in between.
Test(StandinGroup, promotesWithTheLogThatWasReceivedByThen)
{
    Replicated replicated;
    StandinGroup& group = replicated.group;
    cr_assert(group.acceptPromotion({ EndpointId("c"), "front-1", 5, start }, Milliseconds(1000), start));
    replicated.commit("w1");
    replicated.checker.noteAttempt("c1/1", group.id(), { "w1" }, AttemptOutcome::Success, start);
    group.tick(start + Milliseconds(999));
    cr_assert_eq(group.leader().text(), "a");
    cr_assert(replicated.checker.violations().empty());
    group.tick(start + Milliseconds(1000));
    cr_assert_eq(group.leader().text(), "c");
    cr_assert_eq(group.term(), 2U);
    cr_assert_eq(replicated.checker.violations().size(), 1U);
    cr_assert_eq(replicated.checker.violations()[0].rfind("LOST: commit 1.1 of ledger (w1)", 0), 0U);
}

// Guards against fences that are checked when a call is made, and against a call for the present primary that promotes.
Test(StandinGroup, checksTheFenceWhenACallIsCarriedOut)
{
    Replicated replicated;
    StandinGroup& group = replicated.group;
    const auto call = [&group](const char* id, std::uint64_t fence) {
        return group.acceptPromotion({ EndpointId(id), "front-1", fence, start }, Milliseconds(0), start);
    };
    cr_assert(call("a", 7));
    cr_assert_not(call("b", 6));
    cr_assert(call("b", 7));
    group.tick(start);
    cr_assert_eq(group.leader().text(), "b");
    cr_assert_eq(group.term(), 2U);
    group.find(EndpointId("c"))->crash();
    cr_assert_not(call("c", 8));
}

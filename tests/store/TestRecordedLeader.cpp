#include "almondlever/store/PromotionClaim.h"

#include <criterion/criterion.h>

using namespace almondlever;

// Guards against records that the former and the present version read differently: the former one takes only "open" for
// an unfinished change, and writes "done" without a leader.
Test(RecordedLeader, formerVersionsRecordNamesNoLeader)
{
    cr_assert_not(RecordedLeader::decode("done").has_value());
    cr_assert_not(RecordedLeader::decode("open").has_value());
    cr_assert_eq(RecordedLeader::encode(std::nullopt), "done");
    cr_assert_neq(RecordedLeader::encode(RecordedLeader { EndpointId("a"), 7 }), storeKeys::changeOpen);
}

// Guards against taking the end of another endpoint's log for final: the record must name the leader and its term.
Test(RecordedLeader, leaderIsReadAsItWasWritten)
{
    const std::string text = RecordedLeader::encode(RecordedLeader { EndpointId("odd id\n"), 7 });
    cr_assert_eq(text, "done odd%20id%0a 7", "bytes in the store");
    const std::optional<RecordedLeader> read = RecordedLeader::decode(text);
    cr_assert(read.has_value());
    cr_assert(read->id == EndpointId("odd id\n"));
    cr_assert_eq(read->term, 7U);
}

// Guards against a leader that was never recorded.
Test(RecordedLeader, foreignBytesNameNoLeader)
{
    for (const char* text : { "", "done a", "done a x", "open a 7", "gone a 7" })
        cr_assert_not(RecordedLeader::decode(text).has_value(), "%s", text);
}

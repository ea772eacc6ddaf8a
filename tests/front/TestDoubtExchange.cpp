#include "almondlever/front/DoubtExchange.h"
#include "mocks/DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace almondlever;
using Verdict = FailureConfirmation::Verdict;

namespace {

/** Keeps what is sent. */
class FakeNetwork final : public PeerNetwork {
public:
    Result<Done, std::string> listen() override { return Done {}; }
    bool send(const VmId& to, const std::string&, const Message& message) override
    {
        sent.emplace_back(to, message);
        return true;
    }
    bool isConnected(const VmId&) const override { return true; }
    void onMessage(MessageHandler) override { }
    void onLoss(LossHandler) override { }
    void onUnsent(UnsentHandler) override { }
    std::uint64_t bytesTransferred() const override { return 0; }
    PeerTraffic traffic() const override { return {}; }
    void stop() override { }

    std::vector<std::pair<VmId, Message>> sent;
};

struct Fixture : DispatcherFixture {
    FakeNetwork network;
    DoubtExchange doubts { dispatcher, VmId("vm-1") };

    Fixture()
    {
        doubts.setNetwork(&network);
        doubts.setOwners({ { group,
            { { VmId("vm-1"), FailureDomainId("x"), "", false }, { VmId("vm-2"), FailureDomainId("y"), "", false },
                { VmId("vm-3"), FailureDomainId("z"), "", false } } } });
    }

    Verdict judge(TimePoint since) { return doubts.judge(group, a, since, timers.now()); }

    /** All daemons that were asked last say the same. */
    void answerAll(PrimaryOpinion opinion)
    {
        for (const auto& [to, message] : std::vector<std::pair<VmId, Message>>(network.sent)) {
            if (const auto* doubt = std::get_if<PrimaryDoubt>(&message))
                doubts.onAnswer(to, { doubt->number, opinion }, timers.now());
        }
    }

    /** What this daemon answers another one that had no answer for a while. */
    PrimaryOpinion opinionAfter(Milliseconds silence)
    {
        network.sent.clear();
        doubts.onDoubt(VmId("vm-2"), { 7, group, a, silence }, timers.now());
        const auto* answer = std::get_if<PrimaryDoubtAnswer>(&network.sent.at(0).second);
        cr_assert(answer && answer->number == 7);
        return answer->opinion;
    }
};

} // namespace

// Guards against a question that each look at the group asks again.
Test(DoubtExchange, asksOnceAndJudgesByTheAnswers)
{
    Fixture fixture;
    const TimePoint since = fixture.timers.now() - Milliseconds(400);
    cr_assert(fixture.judge(since) == Verdict::Waiting);
    cr_assert(fixture.judge(since) == Verdict::Waiting);
    cr_assert_eq(fixture.network.sent.size(), 2U);
    cr_assert(std::get<PrimaryDoubt>(fixture.network.sent[0].second).silentFor == Milliseconds(400));
    fixture.answerAll(PrimaryOpinion::Answers);
    cr_assert(fixture.judge(since) == Verdict::Contradicted);
    cr_assert(fixture.judge(since) == Verdict::Contradicted);
    cr_assert_eq(fixture.network.sent.size(), 2U, "not asked again at once");
}

// Guards against an answer from before the failure that contradicts the doubt again and again.
Test(DoubtExchange, asksAgainForWhatWasHeardSinceTheLastQuestion)
{
    Fixture fixture;
    const TimePoint since = fixture.timers.now() - Milliseconds(400);
    fixture.judge(since);
    fixture.answerAll(PrimaryOpinion::Answers);
    fixture.judge(since);
    fixture.advance(Milliseconds(150));
    fixture.network.sent.clear();
    cr_assert(fixture.judge(since) == Verdict::Waiting);
    cr_assert(std::get<PrimaryDoubt>(fixture.network.sent.at(0).second).silentFor == Milliseconds(150));
    fixture.answerAll(PrimaryOpinion::Fails);
    cr_assert(fixture.judge(since) == Verdict::Confirmed);
}

// Guards against a late answer to an earlier question that counts for the present one.
Test(DoubtExchange, ignoresAnswersToEarlierQuestions)
{
    Fixture fixture;
    const TimePoint since = fixture.timers.now() - Milliseconds(400);
    fixture.judge(since);
    fixture.doubts.forget(fixture.group);
    fixture.judge(since);
    fixture.doubts.onAnswer(VmId("vm-2"), { 1, PrimaryOpinion::Answers }, fixture.timers.now());
    fixture.doubts.onAnswer(VmId("vm-3"), { 1, PrimaryOpinion::Answers }, fixture.timers.now());
    cr_assert(fixture.judge(since) == Verdict::Waiting);
}

// Guards against opinions that do not follow from what this daemon's connections show.
Test(DoubtExchange, answersFromItsOwnConnections)
{
    Fixture fixture;
    cr_assert(fixture.opinionAfter(Milliseconds(400)) == PrimaryOpinion::Answers, "its position is asked regularly");
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(100));
    cr_assert(fixture.opinionAfter(Milliseconds(100)) == PrimaryOpinion::Fails);
    cr_assert(fixture.doubts.judge(fixture.group, EndpointId("z"), fixture.timers.now(), fixture.timers.now())
        == Verdict::Waiting);
    fixture.network.sent.clear();
    fixture.doubts.onDoubt(
        VmId("vm-2"), { 8, fixture.group, EndpointId("unknown"), Milliseconds(400) }, fixture.timers.now());
    cr_assert(std::get<PrimaryDoubtAnswer>(fixture.network.sent.at(0).second).opinion == PrimaryOpinion::Unknown);
}

#include "almondlever/failover/FailureConfirmation.h"

#include <criterion/criterion.h>

using namespace almondlever;
using Verdict = FailureConfirmation::Verdict;

namespace {

const TimePoint start { std::chrono::hours(1) };
const VmId p("p");
const VmId q("q");
const VmId r("r");
const VmId s("s");
const VmId t("t");

TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

FailureConfirmation makeQuestion(TimePoint contradictedSince = at(400))
{
    return FailureConfirmation({ p, q, r, s, t }, contradictedSince, at(400), FailureConfirmationSettings());
}

} // namespace

// Guards against replacing a healthy primary because one daemon was stalled; the probability of one such daemon grows
// with the fleet.
Test(FailureConfirmation, singleSuspectingDaemonIsContradicted)
{
    FailureConfirmation question = makeQuestion();
    for (const VmId& id : { p, q, r, s })
        question.add(id, PrimaryOpinion::Answers);
    cr_assert(question.verdict(at(420)) == Verdict::Waiting);
    question.add(t, PrimaryOpinion::Unknown);
    cr_assert(question.verdict(at(420)) == Verdict::Contradicted);
}

// Guards against a failover that waits for answers which cannot change the verdict.
Test(FailureConfirmation, sharedSuspicionIsConfirmedAtOnce)
{
    FailureConfirmation question = makeQuestion();
    question.add(p, PrimaryOpinion::Fails);
    cr_assert(question.verdict(at(410)) == Verdict::Waiting);
    question.add(q, PrimaryOpinion::Fails);
    cr_assert(question.verdict(at(420)) == Verdict::Confirmed);
}

// Guards against a failover that requires answers of lost daemons, for example after the loss of a failure domain.
Test(FailureConfirmation, lostDaemonsDelayTheVerdictOnlyUntilTheTimeout)
{
    FailureConfirmation question = makeQuestion();
    question.add(p, PrimaryOpinion::Fails);
    cr_assert(question.verdict(at(549)) == Verdict::Waiting);
    cr_assert(question.verdict(at(550)) == Verdict::Confirmed);
    FailureConfirmation unanswered = makeQuestion();
    cr_assert(unanswered.verdict(at(799)) == Verdict::Waiting, "a slow VM receives answers late");
    cr_assert(unanswered.verdict(at(800)) == Verdict::Confirmed);
    cr_assert(
        FailureConfirmation({}, start, at(400), FailureConfirmationSettings()).verdict(at(400)) == Verdict::Confirmed);
}

// Guards against never replacing a primary that a third of the daemons cannot reach.
Test(FailureConfirmation, oneThirdOfInformedDaemonsConfirms)
{
    FailureConfirmation question = makeQuestion();
    question.add(p, PrimaryOpinion::Answers);
    question.add(q, PrimaryOpinion::Answers);
    question.add(r, PrimaryOpinion::Fails);
    question.add(s, PrimaryOpinion::Unknown);
    cr_assert(question.verdict(at(420)) == Verdict::Waiting);
    question.add(t, PrimaryOpinion::Unknown);
    cr_assert(question.verdict(at(420)) == Verdict::Confirmed);
}

// Guards against one daemon whose callers permanently have no primary because all other daemons reach it.
Test(FailureConfirmation, lastingSuspicionIsConfirmed)
{
    FailureConfirmation question = makeQuestion(at(-2150));
    for (const VmId& id : { p, q, r, s, t })
        question.add(id, PrimaryOpinion::Answers);
    cr_assert(question.verdict(at(349)) == Verdict::Contradicted);
    cr_assert(question.verdict(at(350)) == Verdict::Confirmed);
}

// Guards against counting answers of daemons that were not queried.
Test(FailureConfirmation, ignoresAnswersOfOtherDaemons)
{
    FailureConfirmation question({ p }, start, at(400), FailureConfirmationSettings());
    question.add(q, PrimaryOpinion::Answers);
    cr_assert(question.verdict(at(420)) == Verdict::Waiting);
}

#include "almondlever/failover/SecondOpinion.h"

#include <criterion/criterion.h>

using namespace almondlever;
using Verdict = SecondOpinion::Verdict;

namespace {

const TimePoint start { std::chrono::hours(1) };
const VmId p("p");
const VmId q("q");
const VmId r("r");
const VmId s("s");
const VmId t("t");

TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

SecondOpinion makeQuestion(TimePoint contradictedSince = at(400))
{
    return SecondOpinion({ p, q, r, s, t }, contradictedSince, at(400), SecondOpinionSettings());
}

} // namespace

// Guards against a living primary being replaced because one daemon was stalled: the pattern of a fleet in which the
// chance of one such daemon grows with its size.
Test(SecondOpinion, oneDaemonAloneIsContradicted)
{
    SecondOpinion question = makeQuestion();
    for (const VmId& id : { p, q, r, s })
        question.add(id, PrimaryOpinion::Answers);
    cr_assert(question.verdict(at(420)) == Verdict::Waiting);
    question.add(t, PrimaryOpinion::Unknown);
    cr_assert(question.verdict(at(420)) == Verdict::Contradicted);
}

// Guards against a failover that waits for daemons which cannot change the verdict.
Test(SecondOpinion, sharedDoubtIsConfirmedAtOnce)
{
    SecondOpinion question = makeQuestion();
    question.add(p, PrimaryOpinion::Fails);
    cr_assert(question.verdict(at(410)) == Verdict::Waiting);
    question.add(q, PrimaryOpinion::Fails);
    cr_assert(question.verdict(at(420)) == Verdict::Confirmed);
}

// Guards against a failover that needs an answer of daemons that are gone, as after the loss of a failure domain.
Test(SecondOpinion, daemonsThatAreGoneAreNotAwaited)
{
    SecondOpinion question = makeQuestion();
    question.add(p, PrimaryOpinion::Fails);
    cr_assert(question.verdict(at(549)) == Verdict::Waiting);
    cr_assert(question.verdict(at(550)) == Verdict::Confirmed);
    SecondOpinion unanswered = makeQuestion();
    cr_assert(unanswered.verdict(at(799)) == Verdict::Waiting, "a slow VM hears late");
    cr_assert(unanswered.verdict(at(800)) == Verdict::Confirmed);
    cr_assert(SecondOpinion({}, start, at(400), SecondOpinionSettings()).verdict(at(400)) == Verdict::Confirmed);
}

// Guards against a primary that is cut from a third of the daemons and never replaced.
Test(SecondOpinion, aThirdIsEnough)
{
    SecondOpinion question = makeQuestion();
    question.add(p, PrimaryOpinion::Answers);
    question.add(q, PrimaryOpinion::Answers);
    question.add(r, PrimaryOpinion::Fails);
    question.add(s, PrimaryOpinion::Unknown);
    cr_assert(question.verdict(at(420)) == Verdict::Waiting);
    question.add(t, PrimaryOpinion::Unknown);
    cr_assert(question.verdict(at(420)) == Verdict::Confirmed);
}

// Guards against callers of one daemon that have no primary for good because all others reach it.
Test(SecondOpinion, lastingDoubtIsActedOn)
{
    SecondOpinion question = makeQuestion(at(-2150));
    for (const VmId& id : { p, q, r, s, t })
        question.add(id, PrimaryOpinion::Answers);
    cr_assert(question.verdict(at(349)) == Verdict::Contradicted);
    cr_assert(question.verdict(at(350)) == Verdict::Confirmed);
}

// Guards against opinions of daemons that were not asked.
Test(SecondOpinion, ignoresOthers)
{
    SecondOpinion question({ p }, start, at(400), SecondOpinionSettings());
    question.add(q, PrimaryOpinion::Answers);
    cr_assert(question.verdict(at(420)) == Verdict::Waiting);
}

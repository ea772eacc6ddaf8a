#include "almondlever/front/DoubtExchange.h"

#include "almondlever/observability/DecisionLog.h"
#include "almondlever/placement/PeersToAsk.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Pause before others are asked again about a primary that answers them. */
    constexpr Milliseconds repeatPause { 150 };
    /**
     * An answer that another daemon got this much later than the last one here may have left the primary at the same
     * time: the longest path of an answer (12 ms between regions), a tick of each daemon, and delays of small VMs.
     */
    constexpr Milliseconds pathDifference { 60 };

} // namespace

FailureConfirmation::Verdict DoubtExchange::judge(
    const GroupId& group, const EndpointId& primary, TimePoint doubtedSince, TimePoint now)
{
    Doubt& doubt = doubts_[group];
    if (doubt.primary != primary) {
        doubt = Doubt();
        doubt.primary = primary;
        doubt.heardSince = doubtedSince;
    }
    if (!doubt.question) {
        if (now < doubt.notBefore)
            return FailureConfirmation::Verdict::Contradicted;
        ask(group, doubt, doubtedSince, now);
    }
    const FailureConfirmation::Verdict verdict = doubt.question->verdict(now);
    if (verdict == FailureConfirmation::Verdict::Waiting)
        return verdict;
    logVerdict(group, doubt, verdict, now);
    if (verdict == FailureConfirmation::Verdict::Contradicted && !doubt.contradictedSince)
        doubt.contradictedSince = now;
    doubt.notBefore = now + repeatPause;
    doubt.heardSince = doubt.question->askedAt();
    doubt.question.reset();
    return verdict;
}

void DoubtExchange::ask(const GroupId& group, Doubt& doubt, TimePoint doubtedSince, TimePoint now)
{
    doubt.number = ++lastNumber_;
    PrimaryDoubt message;
    message.number = doubt.number;
    message.group = group;
    message.primary = doubt.primary;
    message.silentFor = std::chrono::duration_cast<Milliseconds>(now - std::max(doubt.heardSince, doubtedSince));
    std::set<VmId> asked;
    for (const LiveDaemon& peer : peersToAsk(owners_[group], self_, settings_.peerCount, doubt.attempts++)) {
        if (network_ && network_->send(peer.id, peer.peerAddress, message))
            asked.insert(peer.id);
    }
    doubt.question.emplace(std::move(asked), doubt.contradictedSince.value_or(now), now, settings_);
}

void DoubtExchange::logVerdict(
    const GroupId& group, const Doubt& doubt, FailureConfirmation::Verdict verdict, TimePoint now)
{
    const FailureConfirmation& question = *doubt.question;
    logInfo("primary_doubted",
        { { "group", group.text() }, { "primary", doubt.primary.text() },
            { "outcome", verdict == FailureConfirmation::Verdict::Confirmed ? "confirmed" : "contradicted" },
            { "asked", std::to_string(question.askedCount()) },
            { "answers", std::to_string(question.count(PrimaryOpinion::Answers)) },
            { "fails", std::to_string(question.count(PrimaryOpinion::Fails)) },
            { "unknown", std::to_string(question.count(PrimaryOpinion::Unknown)) },
            { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(now - question.askedAt()).count()) } });
}

void DoubtExchange::onDoubt(const VmId& from, const PrimaryDoubt& doubt, TimePoint now)
{
    PrimaryDoubtAnswer answer;
    answer.number = doubt.number;
    answer.opinion = dispatcher_.opinionOf(doubt.primary, now - doubt.silentFor + pathDifference, now);
    if (network_)
        network_->send(from, "", answer);
}

void DoubtExchange::onAnswer(const VmId& from, const PrimaryDoubtAnswer& answer, TimePoint)
{
    for (auto& [group, doubt] : doubts_) {
        if (doubt.question && doubt.number == answer.number)
            doubt.question->add(from, answer.opinion);
    }
}

} // namespace almondlever

#include "almondlever/front/PeerSuspicionConfirmer.h"

#include "almondlever/observability/DecisionLog.h"
#include "almondlever/placement/PeersToAsk.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Delay before other daemons are queried again after they reported that the primary answers them. */
    constexpr Milliseconds requeryDelay { 150 };
    /**
     * Largest difference between the times at which two daemons receive answers that left the primary at the same time:
     * the longest one-way latency (12 ms between regions), a tick of each daemon, and scheduling delays of small VMs.
     */
    constexpr Milliseconds maxArrivalDifference { 60 };

} // namespace

FailureConfirmation::Verdict PeerSuspicionConfirmer::confirm(
    const GroupId& group, const EndpointId& primary, TimePoint silentSince, TimePoint now)
{
    Suspicion& suspicion = suspicions_[group];
    if (suspicion.primary != primary) {
        suspicion = Suspicion();
        suspicion.primary = primary;
        suspicion.answeredAfter = silentSince;
    }
    if (!suspicion.peerQuery) {
        if (now < suspicion.nextQueryAt)
            return FailureConfirmation::Verdict::Contradicted;
        sendQuery(group, suspicion, silentSince, now);
    }
    const FailureConfirmation::Verdict verdict = suspicion.peerQuery->verdict(now);
    if (verdict == FailureConfirmation::Verdict::Waiting)
        return verdict;
    logVerdict(group, suspicion, verdict, now);
    if (verdict == FailureConfirmation::Verdict::Contradicted && !suspicion.contradictedSince)
        suspicion.contradictedSince = now;
    suspicion.nextQueryAt = now + requeryDelay;
    suspicion.answeredAfter = suspicion.peerQuery->askedAt();
    suspicion.peerQuery.reset();
    return verdict;
}

void PeerSuspicionConfirmer::sendQuery(const GroupId& group, Suspicion& suspicion, TimePoint silentSince, TimePoint now)
{
    suspicion.number = ++lastQueryNumber_;
    PrimarySuspicion message;
    message.number = suspicion.number;
    message.group = group;
    message.primary = suspicion.primary;
    message.silentFor = std::chrono::duration_cast<Milliseconds>(now - std::max(suspicion.answeredAfter, silentSince));
    std::set<VmId> queried;
    for (const LiveDaemon& peer : peersToAsk(owners_[group], self_, settings_.peerCount, suspicion.attempts++)) {
        if (network_ && network_->send(peer.id, peer.peerAddress, message))
            queried.insert(peer.id);
    }
    suspicion.peerQuery.emplace(std::move(queried), suspicion.contradictedSince.value_or(now), now, settings_);
}

void PeerSuspicionConfirmer::logVerdict(
    const GroupId& group, const Suspicion& suspicion, FailureConfirmation::Verdict verdict, TimePoint now)
{
    const FailureConfirmation& peerQuery = *suspicion.peerQuery;
    logInfo("primary_doubted",
        { { "group", group.text() }, { "primary", suspicion.primary.text() },
            { "outcome", verdict == FailureConfirmation::Verdict::Confirmed ? "confirmed" : "contradicted" },
            { "asked", std::to_string(peerQuery.askedCount()) },
            { "answers", std::to_string(peerQuery.count(PrimaryOpinion::Answers)) },
            { "fails", std::to_string(peerQuery.count(PrimaryOpinion::Fails)) },
            { "unknown", std::to_string(peerQuery.count(PrimaryOpinion::Unknown)) },
            { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(now - peerQuery.askedAt()).count()) } });
}

void PeerSuspicionConfirmer::onQuery(const VmId& from, const PrimarySuspicion& query, TimePoint now)
{
    PrimarySuspicionAnswer answer;
    answer.number = query.number;
    answer.opinion = dispatcher_.opinionOf(query.primary, now - query.silentFor + maxArrivalDifference, now);
    if (network_)
        network_->send(from, "", answer);
}

void PeerSuspicionConfirmer::onAnswer(const VmId& from, const PrimarySuspicionAnswer& answer, TimePoint)
{
    for (auto& [group, suspicion] : suspicions_) {
        if (suspicion.peerQuery && suspicion.number == answer.number)
            suspicion.peerQuery->add(from, answer.opinion);
    }
}

} // namespace almondlever

#include "almondlever/front/PeerStepDownRelay.h"

#include "almondlever/observability/DecisionLog.h"
#include "almondlever/placement/PeersToAsk.h"

namespace almondlever {

namespace {

    /** Owners that are asked at most, so that the cost does not grow with the fleet; one in each failure domain first.
     */
    constexpr std::size_t maximumPeers = 16;
    /** Numbers of requests start here; those of questions about a suspicion, which share the message, stay below. */
    constexpr std::uint64_t firstRequestNumber = std::uint64_t { 1 } << 40U;

} // namespace

PeerStepDownRelay::PeerStepDownRelay(StatementDispatcher& dispatcher, VmId self, std::uint64_t firstNumber)
    : dispatcher_(dispatcher)
    , self_(std::move(self))
    , lastNumber_(firstRequestNumber + firstNumber % firstRequestNumber)
{
}

std::vector<LiveDaemon> PeerStepDownRelay::peersOf(const GroupId& group) const
{
    const auto owners = owners_.find(group);
    if (!network_ || owners == owners_.end())
        return {};
    return peersToAsk(owners->second, self_, maximumPeers, 0);
}

bool PeerStepDownRelay::hasPeers(const GroupId& group) const { return !peersOf(group).empty(); }

void PeerStepDownRelay::request(
    const GroupId& group, const EndpointId& primary, Term term, Callback callback, TimePoint now)
{
    Request& request = requests_[group];
    request = Request();
    request.number = ++lastNumber_;
    request.callback = std::move(callback);
    PrimarySuspicion message;
    message.number = request.number;
    message.group = group;
    message.primary = primary;
    message.stepDownTerm = term;
    for (const LiveDaemon& peer : peersOf(group)) {
        if (network_->send(peer.id, peer.peerAddress, message))
            request.awaited.insert(peer.id);
    }
    logInfo("step_down_relayed",
        { { "group", group.text() }, { "primary", primary.text() }, { "term", std::to_string(term) },
            { "asked", std::to_string(request.awaited.size()) } });
    if (!request.awaited.empty())
        return;
    const Callback unsent = std::move(request.callback);
    requests_.erase(group);
    unsent(StepDownReport(), now);
}

void PeerStepDownRelay::onQuery(const VmId& from, const PrimarySuspicion& query, TimePoint now)
{
    const auto answer
        = [this, from, query, alive = std::weak_ptr<int>(alive_)](const StepDownReport& report, TimePoint at) {
              logInfo("step_down_ordered",
                  { { "group", query.group.text() }, { "primary", query.primary.text() }, { "for", from.text() },
                      { "term", std::to_string(query.stepDownTerm) }, { "outcome", toText(report.result) },
                      { "is_primary", report.status.isPrimary ? "yes" : "no" },
                      { "received", std::to_string(report.status.received.index) } });
              if (alive.expired() || !network_)
                  return;
              PrimarySuspicionAnswer message;
              message.number = query.number;
              message.opinion = dispatcher_.opinionOf(query.primary, at, at);
              message.stepDown = report;
              network_->send(from, "", message);
          };
    // Also holds back new statements for a primary that this daemon does not reach at the moment.
    const bool isReachable = dispatcher_.isReachable(query.primary);
    dispatcher_.stepDown(
        query.group, query.primary, query.stepDownTerm,
        [answer, isReachable](const StepDownReport& report, TimePoint at) {
            if (isReachable)
                answer(report, at);
        },
        now);
    if (!isReachable)
        answer(StepDownReport(), now);
}

bool PeerStepDownRelay::onAnswer(const VmId& from, const PrimarySuspicionAnswer& answer, TimePoint now)
{
    for (auto it = requests_.begin(); it != requests_.end(); ++it) {
        Request& request = it->second;
        if (request.number != answer.number)
            continue;
        if (request.awaited.erase(from) == 0)
            return true;
        const StepDownReport report = answer.stepDown.value_or(StepDownReport());
        request.isNotSupported = request.isNotSupported || report.result == StepDownResult::NotSupported;
        if (report.result != StepDownResult::Answered && !request.awaited.empty())
            return true;
        StepDownReport outcome = report;
        if (report.result != StepDownResult::Answered && request.isNotSupported)
            outcome.result = StepDownResult::NotSupported;
        const Callback callback = std::move(request.callback);
        requests_.erase(it);
        callback(outcome, now);
        return true;
    }
    return answer.number > firstRequestNumber;
}

} // namespace almondlever

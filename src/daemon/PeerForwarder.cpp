#include "almondlever/daemon/PeerForwarder.h"

#include "almondlever/observability/DecisionLog.h"

namespace almondlever {

namespace {

    /** Time after the deadline in which the owner's own rejection may still arrive. */
    constexpr Milliseconds replyGrace { 100 };

    ForwardReply errorReply(ForwardErrorCode code, Outcome outcome, const char* detail)
    {
        ForwardReply reply;
        reply.result = ForwardError { code, outcome, detail, {}, {} };
        return reply;
    }

} // namespace

PeerForwarder::PeerForwarder(
    PeerNetwork& network, ServingHost& serving, TimerService& timers, std::uint64_t firstNumber)
    : network_(network)
    , serving_(serving)
    , timers_(timers)
    , lastCorrelation_(firstNumber)
{
}

void PeerForwarder::setSnapshot(SnapshotPtr snapshot)
{
    snapshot_ = std::move(snapshot);
    std::set<VmId> gone;
    for (const auto& [unused, pending] : pending_) {
        if (!snapshot_->members.find(pending.owner))
            gone.insert(pending.owner);
    }
    for (const VmId& owner : gone)
        onPeerLost(owner, timers_.now());
}

void PeerForwarder::forward(const VmId& owner, ForwardRequest request, TimePoint deadline, ReplyCallback callback)
{
    const TimePoint now = timers_.now();
    if (owner == snapshot_->self)
        return serving_.submit(std::move(request), now, std::move(callback));
    const LiveDaemon* peer = snapshot_->members.find(owner);
    if (!peer)
        return callback(
            errorReply(ForwardErrorCode::NotOwner, Outcome::NotRun, "the owner is not believed to live"), now);
    if (!isForwardable(request))
        return callback(errorReply(ForwardErrorCode::Rejected, Outcome::NotRun,
                            "the request is too large to be passed on to the serving daemon"),
            now);
    const std::uint64_t correlation = ++lastCorrelation_;
    request.correlation = correlation;
    if (!network_.send(owner, peer->peerAddress, request))
        return callback(
            errorReply(ForwardErrorCode::EndpointUnavailable, Outcome::NotRun, "the serving daemon cannot be reached"),
            now);
    const auto expiry = expiries_.emplace(deadline + replyGrace, correlation);
    pending_.emplace(correlation, Pending { owner, std::move(callback), expiry });
}

void PeerForwarder::finish(std::uint64_t correlation, ForwardReply reply, TimePoint now)
{
    const auto found = pending_.find(correlation);
    if (found == pending_.end())
        return;
    const ReplyCallback callback = std::move(found->second.callback);
    expiries_.erase(found->second.expiry);
    pending_.erase(found);
    callback(std::move(reply), now);
}

void PeerForwarder::onReply(const VmId& from, ForwardReply reply, TimePoint now)
{
    const std::uint64_t correlation = reply.correlation;
    const auto found = pending_.find(correlation);
    if (found == pending_.end() || found->second.owner != from)
        return;
    finish(correlation, std::move(reply), now);
}

void PeerForwarder::onRequest(const PeerIdentity& from, ForwardRequest request, TimePoint now)
{
    const std::uint64_t correlation = request.correlation;
    serving_.submit(std::move(request), now, [this, from, correlation](ForwardReply reply, TimePoint) {
        reply.correlation = correlation;
        if (network_.send(from.id, from.address, reply))
            return;
        // If the channel is lost, this fails as well, and the other daemon notices the loss by itself.
        ForwardReply replacement
            = errorReply(ForwardErrorCode::Rejected, Outcome::Unknown, "the answer is too large to be passed on");
        replacement.correlation = correlation;
        if (network_.send(from.id, from.address, replacement))
            logWarning("answer_too_large", { { "peer", from.id.text() } });
    });
}

void PeerForwarder::onUnsent(std::uint64_t correlation, TimePoint now)
{
    finish(correlation,
        errorReply(ForwardErrorCode::EndpointUnavailable, Outcome::NotRun, "the serving daemon cannot be reached"),
        now);
}

void PeerForwarder::onPeerLost(const VmId& peer, TimePoint now)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [correlation, pending] : pending_) {
        if (pending.owner == peer)
            lost.push_back(correlation);
    }
    for (const std::uint64_t correlation : lost)
        finish(correlation,
            errorReply(
                ForwardErrorCode::EndpointUnavailable, Outcome::Unknown, "the channel to the serving daemon broke"),
            now);
}

void PeerForwarder::onTick(TimePoint now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
        finish(expiries_.begin()->second,
            errorReply(
                ForwardErrorCode::DeadlineExceeded, Outcome::Unknown, "the serving daemon did not answer in time"),
            now);
}

} // namespace almondlever

#pragma once

#include "almondlever/entry/Forwarder.h"

#include <utility>
#include <vector>

namespace almondlever {

/** Records forwarded requests; the test answers them in any order. */
class FakeForwarder final : public Forwarder {
public:
    struct Sent {
        VmId owner;
        ForwardRequest request;
        TimePoint deadline;
        ReplyCallback callback;
    };

    void forward(const VmId& owner, ForwardRequest request, TimePoint deadline, ReplyCallback callback) override
    {
        sent.push_back({ owner, std::move(request), deadline, std::move(callback) });
    }

    void succeed(std::size_t index, LogPosition position, TimePoint now, bool isFromReplica = false)
    {
        ForwardReply reply;
        reply.result = ForwardSuccess { position, "value", TransactionId(), false, isFromReplica, {} };
        reply.endpointPosition = position;
        sent.at(index).callback(std::move(reply), now);
    }

    void fail(std::size_t index, ForwardErrorCode code, Outcome outcome, TimePoint now, const PrimaryView& hint = {})
    {
        ForwardReply reply;
        reply.result = ForwardError { code, outcome, "told by the fake", Milliseconds(70), hint };
        sent.at(index).callback(std::move(reply), now);
    }

    std::vector<Sent> sent;
};

} // namespace almondlever

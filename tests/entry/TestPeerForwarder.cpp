#include "almondlever/daemon/PeerForwarder.h"
#include "mocks/FakeEndpoint.h"
#include "mocks/FakePeerNetwork.h"
#include "mocks/FakeTimerService.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const VmId entryVm("entry");
const VmId ownerVm("owner");
const VmId otherVm("other");

struct IgnoringListener final : PrimaryListener {
    void primaryAnswered(const DatabaseId&, const EndpointId&, Term) override { }
    void primaryFailed(const DatabaseId&, const EndpointId&) override { }
    void writesPaused(const DatabaseId&, const EndpointId&, LogPosition) override { }
};

/** Refuses messages, as for an answer that is too large. */
struct RefusingNetwork final : PeerNetwork {
    Result<Done, std::string> listen() override { return Done {}; }
    bool send(const VmId&, const std::string&, const Message& message) override
    {
        attempts.push_back(message);
        return attempts.size() > refused;
    }
    bool isConnected(const VmId&) const override { return true; }
    void onMessage(MessageHandler) override { }
    void onLoss(LossHandler) override { }
    void onUnsent(UnsentHandler) override { }
    std::uint64_t bytesTransferred() const override { return 0; }
    PeerTraffic traffic() const override { return {}; }
    void stop() override { }

    std::size_t refused = 0;
    std::vector<Message> attempts;
};

/** One run of a daemon's process, without endpoints of its own. */
template <typename Network> struct Run {
    explicit Run(std::uint64_t firstNumber)
        : serving(ServingContext { connector, timers, listener, metrics, decisions, {},
            [](const std::vector<RankRule>& ranks, std::size_t slots) {
                return std::make_unique<RankScheduler>(ranks, slots);
            },
            [] { return std::uint64_t { 1 }; } })
        , forwarder(network, serving, timers, firstNumber)
    {
        Snapshot snapshot;
        snapshot.self = entryVm;
        snapshot.members.daemons
            = { { otherVm, FailureDomainId("d"), "2", false }, { ownerVm, FailureDomainId("d"), "1", false } };
        forwarder.setSnapshot(std::make_shared<const Snapshot>(snapshot));
    }

    /** Sends a read to the owner and returns its number. */
    std::uint64_t sendRead()
    {
        forwarder.forward(ownerVm, {}, timers.now() + Milliseconds(1000),
            [this](ForwardReply reply, TimePoint) { replies.push_back(std::move(reply)); });
        return std::get<ForwardRequest>(network.sent.back().second).correlation;
    }

    FakeTimerService timers;
    FakeEndpointConnector connector;
    IgnoringListener listener;
    Metrics metrics;
    DecisionLog decisions { 0 };
    Network network;
    ServingHost serving;
    PeerForwarder forwarder;
    std::vector<ForwardReply> replies;
};

ForwardReply replyTo(std::uint64_t correlation)
{
    ForwardReply reply;
    reply.correlation = correlation;
    return reply;
}

} // namespace

// Guards against the reply to a request of the process's former run, or of another daemon, being given to a caller of
// this run: the owner may still run that request when the new process has connected.
Test(PeerForwarder, replyToAnotherRequestIsIgnored)
{
    Run<FakePeerNetwork> former(1000);
    Run<FakePeerNetwork> current(2000);
    const std::uint64_t formerNumber = former.sendRead();
    const std::uint64_t number = current.sendRead();
    current.forwarder.onReply(ownerVm, replyTo(formerNumber), current.timers.now());
    cr_assert(current.replies.empty());
    current.forwarder.onReply(otherVm, replyTo(number), current.timers.now());
    cr_assert(current.replies.empty());
    current.forwarder.onReply(ownerVm, replyTo(number), current.timers.now());
    cr_assert_eq(current.replies.size(), 1U);
    current.forwarder.onReply(ownerVm, replyTo(number), current.timers.now());
    cr_assert_eq(current.replies.size(), 1U);
}

// Guards against a request that is repeated until its deadline, or closes the channel, because it is too large to be
// sent.
Test(PeerForwarder, requestTooLargeForAMessageIsRefusedAtOnce)
{
    for (const bool isNameTooLong : { false, true }) {
        Run<FakePeerNetwork> run(0);
        ForwardRequest request;
        request.operation = OperationKind::Write;
        request.value = std::string(isNameTooLong ? 1 : maximumMessageBytes - 100, 'v');
        request.transaction = TransactionId(std::string(isNameTooLong ? 257 : 1, '7'));
        run.forwarder.forward(ownerVm, request, run.timers.now() + Milliseconds(1000),
            [&run](ForwardReply reply, TimePoint) { run.replies.push_back(std::move(reply)); });
        cr_assert(run.network.sent.empty());
        cr_assert_eq(run.replies.size(), 1U);
        const auto& error = std::get<ForwardError>(run.replies[0].result);
        cr_assert(error.code == ForwardErrorCode::Rejected);
        cr_assert(error.outcome == Outcome::NotRun);
    }
}

// Guards against a caller that waits until its deadline because the answer to its request cannot be sent.
Test(PeerForwarder, replyThatCannotBeSentIsReplaced)
{
    Run<RefusingNetwork> owner(0);
    owner.network.refused = 1;
    ForwardRequest request;
    request.correlation = 7;
    owner.forwarder.onRequest({ otherVm, FailureDomainId("d"), "2" }, request, owner.timers.now());
    cr_assert_eq(owner.network.attempts.size(), 2U);
    const auto& reply = std::get<ForwardReply>(owner.network.attempts.back());
    cr_assert_eq(reply.correlation, 7U);
    const auto& error = std::get<ForwardError>(reply.result);
    cr_assert(error.code == ForwardErrorCode::Rejected);
    cr_assert(error.outcome == Outcome::Unknown);
}

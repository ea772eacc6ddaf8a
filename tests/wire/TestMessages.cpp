#include "almondlever/wire/Messages.h"
#include "wire/CborReader.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <tuple>

using namespace almondlever;

// Comparisons list every field, so that a field omitted by both encoder and decoder is detected.
namespace almondlever {

static auto fields(const PrimaryView& v) { return std::tie(v.database, v.term, v.primary); }
static auto fields(const ForwardRequest& r)
{
    return std::tie(r.correlation, r.kind, r.requestId, r.caller, r.database, r.endpoint, r.rank, r.operation, r.key,
        r.value, r.transaction, r.isRepeatable, r.timeLeft, r.minimumPosition, r.maximumStaleness,
        r.needsConfirmedLeadership, r.traceparent);
}
static auto fields(const ForwardSuccess& s)
{
    return std::tie(s.position, s.value, s.transaction, s.isDuplicate, s.isFromReplica, s.staleness);
}
static auto fields(const ForwardError& e)
{
    return std::tuple_cat(std::tie(e.code, e.outcome, e.detail, e.retryAfter), fields(e.primary));
}
static auto fields(const MemberRecord& m)
{
    return std::tie(m.id, m.failureDomain, m.peerAddress, m.state, m.incarnation);
}
static auto fields(const ConfigRequest& r) { return std::tie(r.knownVersion, r.chunk, r.acceptsPatch); }
static auto fields(const ConfigPatch& p)
{
    return std::make_tuple(p.baseVersion, p.keptAtStart, p.keptAtEnd, p.sha256);
}
static auto fields(const ConfigReply& r)
{
    return std::make_tuple(r.version, r.chunk, r.chunkCount, r.bytes, r.patch.has_value(),
        r.patch ? fields(*r.patch) : fields(ConfigPatch()));
}
static auto fields(const SuspicionReport& r)
{
    return std::tie(r.database, r.observer, r.term, r.primary, r.isSuspected);
}
static bool operator==(const ForwardSuccess& a, const ForwardSuccess& b) { return fields(a) == fields(b); }
static bool operator==(const ForwardError& a, const ForwardError& b) { return fields(a) == fields(b); }
static bool operator==(const MemberRecord& a, const MemberRecord& b) { return fields(a) == fields(b); }
static auto fields(const ForwardReply& r)
{
    return std::tie(r.correlation, r.result, r.expectedWait, r.endpointPosition, r.endpointStaleness);
}
static auto fields(const Gossip& g)
{
    return std::tie(g.kind, g.sequence, g.target, g.records, g.configurationVersion, g.vmListVersion, g.hasLeavingVms,
        g.leavingVms);
}

} // namespace almondlever

namespace {

template <typename Id> Id anyId() { return Id(*rc::gen::resize(20, rc::gen::string<std::string>())); }
Milliseconds anySpan() { return Milliseconds(*rc::gen::inRange<std::int64_t>(0, std::int64_t { 1 } << 40)); }
std::string anyText() { return *rc::gen::string<std::string>(); }
std::uint64_t anyNumber()
{
    return *rc::gen::oneOf(rc::gen::arbitrary<std::uint64_t>(), rc::gen::just(~std::uint64_t { 0 }));
}
bool anyFlag() { return *rc::gen::arbitrary<bool>(); }
template <typename Enum> Enum anyEnum(Enum last)
{
    return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}
LogPosition anyPosition() { return { anyNumber(), anyNumber() }; }
PrimaryView anyView() { return { anyId<DatabaseId>(), anyNumber(), anyId<EndpointId>() }; }
template <typename Value> std::optional<Value> maybe(Value value)
{
    return anyFlag() ? std::optional<Value>(std::move(value)) : std::nullopt;
}

ForwardRequest anyRequest()
{
    return { anyNumber(), anyEnum(ForwardKind::Rollback), anyId<RequestId>(), anyId<CallerId>(), anyId<DatabaseId>(),
        anyId<EndpointId>(), *rc::gen::inRange<std::size_t>(0, 256), anyEnum(OperationKind::Write), anyText(),
        anyText(), anyId<TransactionId>(), anyFlag(), anySpan(), anyPosition(), maybe(anySpan()), anyFlag(),
        anyText() };
}

ForwardReply anyReply()
{
    ForwardReply reply;
    reply.correlation = anyNumber();
    if (anyFlag())
        reply.result = ForwardSuccess { anyPosition(), maybe(anyText()), anyId<TransactionId>(), anyFlag(), anyFlag(),
            anySpan() };
    else
        reply.result = ForwardError { anyEnum(ForwardErrorCode::Rejected), anyEnum(Outcome::Unknown), anyText(),
            anySpan(), anyView() };
    reply.expectedWait = { anySpan(), anySpan() };
    reply.endpointPosition = anyPosition();
    reply.endpointStaleness = anySpan();
    return reply;
}

Gossip anyGossip()
{
    const MemberRecord record { VmId("vm" + anyText().substr(0, 20)), anyId<FailureDomainId>(), "10.0.0.1:7000",
        anyEnum(MemberRecord::State::Leaving), anyNumber() };
    return { anyEnum(Gossip::Kind::StateReply), anyNumber(), anyId<VmId>(), { record, record }, anyNumber(),
        anyNumber(), anyFlag(), { anyId<VmId>() } };
}

template <typename Alternative> void checkRoundTrip(Alternative (*make)())
{
    const bool isSame = rc::check([make] {
        const Alternative sent = make();
        const auto received = decodeMessage(encodeMessage(sent));
        RC_ASSERT(received.hasValue());
        RC_ASSERT(std::holds_alternative<Alternative>(received.value()));
        RC_ASSERT(fields(std::get<Alternative>(received.value())) == fields(sent));
    });
    cr_assert(isSame);
}

std::string cbor(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

bool isRefused(const std::string& bytes) { return !decodeMessage(bytes).hasValue(); }

} // namespace

// Guards against a field of a message that is lost or changed on its way to another daemon.
Test(Messages, keepEveryFieldOnRoundTrip)
{
    checkRoundTrip<ForwardRequest>(anyRequest);
    checkRoundTrip<ForwardReply>(anyReply);
    checkRoundTrip<Gossip>(anyGossip);
    checkRoundTrip<ConfigRequest>([] { return ConfigRequest { anyNumber(), 17, anyFlag() }; });
    checkRoundTrip<ConfigReply>([] { return ConfigReply { anyNumber(), 2, 3, anyText(), {} }; });
    checkRoundTrip<ConfigReply>([] {
        return ConfigReply { anyNumber(), 0, 1, anyText(), ConfigPatch { anyNumber(), 70000, 12, anyText() } };
    });
    checkRoundTrip<SuspicionReport>([] {
        return SuspicionReport { anyId<DatabaseId>(), anyId<VmId>(), anyNumber(), anyId<EndpointId>(), anyFlag() };
    });
    checkRoundTrip<PrimaryView>([] { return anyView(); });
}

// Guards against values of a wrong type or range that pass the decoder.
Test(Messages, refusesWrongTypesAndRanges)
{
    using Json = nlohmann::json;
    const Json request = { { "v", 1 }, { "t", 0 } };
    cr_assert(decodeMessage(cbor(request)).hasValue());
    const auto isRefusedWith = [](Json message, const Json& change) {
        message.update(change);
        return isRefused(cbor(message));
    };
    cr_assert(isRefusedWith(request, { { "v", 2 } }));
    cr_assert(isRefusedWith(request, { { "t", std::variant_size_v<Message> } }));
    cr_assert(isRefusedWith(request, { { "t", "0" } }));
    cr_assert(isRefusedWith(request, { { "k", 4 } }));
    cr_assert(isRefusedWith(request, { { "o", 2 } }));
    cr_assert(isRefusedWith(request, { { "r", 256 } }));
    cr_assert(isRefusedWith(request, { { "c", -1 } }));
    cr_assert(isRefusedWith(request, { { "rp", 1 } }));
    cr_assert(isRefusedWith(request, { { "mp", { 1 } } }));
    cr_assert(isRefusedWith(request, { { "mp", { 1, -1 } } }));
    cr_assert(isRefusedWith(request, { { "ms", 1.5 } }));
    cr_assert(isRefusedWith(request, { { "ms", std::uint64_t { 1 } << 60 } }));
    cr_assert(isRefusedWith(request, { { "e", std::string(257, 'e') } }));
    const Json reply = { { "v", 1 }, { "t", 1 } };
    cr_assert(isRefused(cbor(reply)));
    cr_assert(isRefusedWith(reply, { { "ok", Json::object() }, { "er", Json::object() } }));
    cr_assert(isRefusedWith(reply, { { "er", { { "co", 10 } } } }));
    cr_assert(isRefusedWith(reply, { { "er", { { "oc", 3 } } } }));
    cr_assert(isRefusedWith(reply, { { "ok", Json::object() }, { "w", { 1, "2" } } }));
    const Json gossip = { { "v", 1 }, { "t", 2 } };
    cr_assert(isRefusedWith(gossip, { { "m", { { "vm", "domain", "address", 4, 0 } } } }));
    cr_assert(isRefusedWith(gossip, { { "m", { { "", "domain", "address", 0, 0 } } } }));
    cr_assert(isRefusedWith(gossip, { { "m", { { "vm", "domain" } } } }));
    cr_assert(isRefusedWith(gossip, { { "l", { 5 } } }));
    cr_assert(isRefused(cbor({ { "v", 1 }, { "t", 4 }, { "ch", 3 }, { "cc", 3 } })));
}

// Guards against a crash or a stack overflow on bytes that are not a message, and against oversized input.
Test(Messages, refusesMalformedBytes)
{
    cr_assert(isRefused(""));
    cr_assert(isRefused(std::string(maximumMessageBytes, '\x81')));
    cr_assert(isRefused(std::string(maximumMessageBytes + 1, '\0')));
    cr_assert(isRefused(cbor({ { "v", 1 }, { "t", 0 } }) + '\0'));
    cr_assert(isRefused(std::string("\xa3\x61v\x01\x61t\x00\x61t\x01", 10)));
    const bool neverThrows = rc::check([] {
        std::string bytes = encodeMessage(anyReply());
        const auto index = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[index] = *rc::gen::arbitrary<char>();
        const auto truncated = bytes.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size()));
        const auto changed = decodeMessage(bytes);
        RC_ASSERT((changed.hasValue() || !changed.error().empty()));
        RC_ASSERT(isRefused(truncated));
    });
    cr_assert(neverThrows);
}

#include "almondlever/wire/Messages.h"

#include "CborWriter.h"
#include "GroupReportEncoding.h"
#include "SessionMessages.h"
#include "StoreMessages.h"

#include <algorithm>
#include <type_traits>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    // Limits on data from a peer, well above what the senders produce.
    constexpr std::uint64_t maximumRank = 255;
    constexpr std::size_t maximumRecords = 4096;
    constexpr std::size_t maximumLeavingVms = 16384;
    constexpr std::size_t maximumRanks = maximumRank + 1;
    constexpr std::uint64_t maximumChunks = 1U << 20U;
    /** Limits the lengths in a patch, so that their sum cannot overflow. */
    constexpr std::uint64_t maximumPatchedBytes = std::uint64_t { 1 } << 32;

    /** Largest value of field "t", which is the index of the alternative of Message. */
    constexpr std::uint64_t lastMessageType = std::variant_size_v<Message> - 1;

    bool isName(const Json& value)
    {
        return value.is_string() && value.get_ref<const std::string&>().size() <= maximumNameBytes;
    }

    void write(Json& map, const ForwardRequest& request)
    {
        CborWriter writer(map);
        writer.number("c", request.correlation);
        writer.enumeration("k", request.kind);
        writer.text("i", request.requestId);
        writer.text("ca", request.caller);
        writer.text("db", request.database);
        writer.text("e", request.endpoint);
        writer.number("r", request.rank);
        writer.enumeration("o", request.operation);
        writer.text("ke", request.key);
        writer.text("va", request.value);
        writer.text("tx", request.transaction);
        writer.flag("rp", request.isRepeatable);
        writer.milliseconds("d", request.timeLeft);
        writer.position("mp", request.minimumPosition);
        // Zero is a valid limit, so the field is present exactly when there is a limit.
        if (request.maximumStaleness)
            map["ms"] = static_cast<std::uint64_t>(std::max<Milliseconds::rep>(request.maximumStaleness->count(), 0));
        writer.flag("cl", request.needsConfirmedLeadership);
        writer.text("tp", request.traceparent);
    }

    ForwardRequest readForwardRequest(CborReader& reader)
    {
        ForwardRequest request;
        request.correlation = reader.number("c");
        request.kind = reader.enumeration("k", ForwardKind::Rollback);
        request.requestId = reader.identifier<RequestId>("i");
        request.caller = reader.identifier<CallerId>("ca");
        request.database = reader.identifier<DatabaseId>("db");
        request.endpoint = reader.identifier<EndpointId>("e");
        request.rank = reader.number("r", maximumRank);
        request.operation = reader.enumeration("o", OperationKind::Write);
        request.key = reader.text("ke");
        request.value = reader.text("va");
        request.transaction = reader.identifier<TransactionId>("tx");
        request.isRepeatable = reader.flag("rp");
        request.timeLeft = reader.milliseconds("d");
        request.minimumPosition = readPosition(reader, "mp");
        if (reader.has("ms"))
            request.maximumStaleness = reader.milliseconds("ms");
        request.needsConfirmedLeadership = reader.flag("cl");
        request.traceparent = reader.text("tp", maximumNameBytes);
        return request;
    }

    void write(Json& map, const PrimaryView& view)
    {
        CborWriter writer(map);
        writer.text("db", view.database);
        writer.number("tm", view.term);
        writer.text("p", view.primary);
    }

    PrimaryView readPrimaryView(CborReader& reader)
    {
        PrimaryView view;
        view.database = reader.identifier<DatabaseId>("db");
        view.term = reader.number("tm");
        view.primary = reader.identifier<EndpointId>("p");
        return view;
    }

    void write(Json& map, const ForwardSuccess& success)
    {
        CborWriter writer(map);
        writer.position("p", success.position);
        if (success.value)
            map["va"] = *success.value;
        writer.text("tx", success.transaction);
        writer.flag("du", success.isDuplicate);
        writer.flag("rl", success.isFromReplica);
        writer.milliseconds("s", success.staleness);
    }

    ForwardSuccess readForwardSuccess(CborReader& reader)
    {
        ForwardSuccess success;
        success.position = readPosition(reader, "p");
        if (reader.has("va"))
            success.value = reader.text("va");
        success.transaction = reader.identifier<TransactionId>("tx");
        success.isDuplicate = reader.flag("du");
        success.isFromReplica = reader.flag("rl");
        success.staleness = reader.milliseconds("s");
        return success;
    }

    void write(Json& map, const ForwardError& error)
    {
        CborWriter writer(map);
        writer.enumeration("co", error.code);
        writer.enumeration("oc", error.outcome);
        writer.text("de", error.detail);
        writer.milliseconds("ra", error.retryAfter);
        Json primary = Json::object();
        write(primary, error.primary);
        if (!primary.empty())
            map["pv"] = std::move(primary);
    }

    ForwardError readForwardError(CborReader& reader)
    {
        ForwardError error;
        error.code = reader.enumeration("co", ForwardErrorCode::Rejected);
        error.outcome = reader.enumeration("oc", Outcome::Unknown);
        error.detail = reader.text("de");
        error.retryAfter = reader.milliseconds("ra");
        if (reader.has("pv")) {
            CborReader nested(reader.map("pv"));
            error.primary = readPrimaryView(nested);
            reader.adoptError(nested);
        }
        return error;
    }

    void write(Json& map, const ForwardReply& reply)
    {
        CborWriter writer(map);
        writer.number("c", reply.correlation);
        Json result = Json::object();
        std::visit([&result](const auto& alternative) { write(result, alternative); }, reply.result);
        map[std::holds_alternative<ForwardSuccess>(reply.result) ? "ok" : "er"] = std::move(result);
        if (!reply.expectedWait.empty()) {
            Json& waits = map["w"] = Json::array();
            for (const Milliseconds wait : reply.expectedWait)
                waits.push_back(static_cast<std::uint64_t>(std::max<Milliseconds::rep>(wait.count(), 0)));
        }
        writer.position("ep", reply.endpointPosition);
        writer.milliseconds("es", reply.endpointStaleness);
    }

    void readExpectedWait(CborReader& reader, std::vector<Milliseconds>& waits)
    {
        for (const Json& wait : reader.array("w", maximumRanks)) {
            const Json holder = { { "w", wait } };
            CborReader element(holder);
            waits.push_back(element.milliseconds("w"));
            reader.adoptError(element);
        }
    }

    ForwardReply readForwardReply(CborReader& reader)
    {
        ForwardReply reply;
        reply.correlation = reader.number("c");
        if (reader.has("ok") == reader.has("er"))
            reader.fail("ok", "and field 'er' must not both be present or absent");
        if (reader.has("ok")) {
            CborReader nested(reader.map("ok"));
            reply.result = readForwardSuccess(nested);
            reader.adoptError(nested);
        } else if (reader.has("er")) {
            CborReader nested(reader.map("er"));
            reply.result = readForwardError(nested);
            reader.adoptError(nested);
        }
        readExpectedWait(reader, reply.expectedWait);
        reply.endpointPosition = readPosition(reader, "ep");
        reply.endpointStaleness = reader.milliseconds("es");
        return reply;
    }

    void write(Json& map, const Gossip& gossip)
    {
        CborWriter writer(map);
        writer.enumeration("k", gossip.kind);
        writer.number("s", gossip.sequence);
        writer.text("ta", gossip.target);
        if (!gossip.records.empty()) {
            Json& records = map["m"] = Json::array();
            for (const MemberRecord& record : gossip.records)
                records.push_back(Json::array({ record.id.text(), record.failureDomain.text(), record.peerAddress,
                    static_cast<unsigned>(record.state), record.incarnation }));
        }
        writer.number("cv", gossip.configurationVersion);
        writer.number("lv", gossip.vmListVersion);
        writer.flag("hl", gossip.hasLeavingVms);
        if (!gossip.leavingVms.empty()) {
            Json& leaving = map["l"] = Json::array();
            for (const VmId& id : gossip.leavingVms)
                leaving.push_back(id.text());
        }
    }

    void readRecords(CborReader& reader, std::vector<MemberRecord>& records)
    {
        constexpr auto lastState = static_cast<std::uint64_t>(MemberRecord::State::Leaving);
        for (const Json& entry : reader.array("m", maximumRecords)) {
            if (!entry.is_array() || entry.size() != 5 || !isName(entry[0]) || !isName(entry[1]) || !isName(entry[2])
                || !entry[3].is_number_unsigned() || !entry[4].is_number_unsigned()
                || entry[3].get<std::uint64_t>() > lastState || entry[0].get_ref<const std::string&>().empty()) {
                reader.fail("m", "contains a malformed record");
                return;
            }
            records.push_back({ VmId(entry[0]), FailureDomainId(entry[1]), entry[2].get<std::string>(),
                static_cast<MemberRecord::State>(entry[3].get<unsigned>()), entry[4].get<std::uint64_t>() });
        }
    }

    Gossip readGossip(CborReader& reader)
    {
        Gossip gossip;
        gossip.kind = reader.enumeration("k", Gossip::Kind::StateReply);
        gossip.sequence = reader.number("s");
        gossip.target = reader.identifier<VmId>("ta");
        readRecords(reader, gossip.records);
        gossip.configurationVersion = reader.number("cv");
        gossip.vmListVersion = reader.number("lv");
        gossip.hasLeavingVms = reader.flag("hl");
        for (const Json& id : reader.array("l", maximumLeavingVms)) {
            if (!isName(id)) {
                reader.fail("l", "contains a malformed id");
                break;
            }
            gossip.leavingVms.emplace_back(id.get<std::string>());
        }
        return gossip;
    }

    void write(Json& map, const ConfigRequest& request)
    {
        CborWriter writer(map);
        writer.number("kv", request.knownVersion);
        writer.number("ch", request.chunk);
        writer.flag("ap", request.acceptsPatch);
    }

    ConfigRequest readConfigRequest(CborReader& reader)
    {
        ConfigRequest request;
        request.knownVersion = reader.number("kv");
        request.chunk = reader.number("ch", maximumChunks);
        request.acceptsPatch = reader.flag("ap");
        return request;
    }

    void write(Json& map, const ConfigReply& reply)
    {
        CborWriter writer(map);
        writer.number("cv", reply.version);
        writer.number("ch", reply.chunk);
        writer.number("cc", reply.chunkCount);
        if (!reply.bytes.empty())
            map["b"] = Json::binary({ reply.bytes.begin(), reply.bytes.end() });
        if (!reply.patch)
            return;
        writer.number("pv", reply.patch->baseVersion);
        writer.number("ps", reply.patch->keptAtStart);
        writer.number("pe", reply.patch->keptAtEnd);
        map["ph"] = Json::binary({ reply.patch->sha256.begin(), reply.patch->sha256.end() });
    }

    ConfigReply readConfigReply(CborReader& reader)
    {
        ConfigReply reply;
        reply.version = reader.number("cv");
        reply.chunk = reader.number("ch", maximumChunks);
        reply.chunkCount = reader.number("cc", maximumChunks);
        reply.bytes = reader.bytes("b");
        if (reader.has("ph"))
            reply.patch = ConfigPatch { reader.number("pv"), reader.number("ps", maximumPatchedBytes),
                reader.number("pe", maximumPatchedBytes), reader.bytes("ph") };
        if (reply.chunk != 0 && reply.chunk >= reply.chunkCount)
            reader.fail("ch", "is not below the number of chunks");
        return reply;
    }

    void write(Json& map, const SuspicionReport& report)
    {
        CborWriter writer(map);
        writer.text("db", report.database);
        writer.text("ob", report.observer);
        writer.number("tm", report.term);
        writer.text("p", report.primary);
        writer.flag("su", report.isSuspected);
    }

    SuspicionReport readSuspicionReport(CborReader& reader)
    {
        SuspicionReport report;
        report.database = reader.identifier<DatabaseId>("db");
        report.observer = reader.identifier<VmId>("ob");
        report.term = reader.number("tm");
        report.primary = reader.identifier<EndpointId>("p");
        report.isSuspected = reader.flag("su");
        return report;
    }

    void write(Json& map, const PrimarySuspicion& suspicion)
    {
        CborWriter writer(map);
        writer.number("n", suspicion.number);
        writer.text("g", suspicion.group);
        writer.text("p", suspicion.primary);
        writer.milliseconds("si", suspicion.silentFor);
        writer.number("sd", suspicion.stepDownTerm);
        writer.number("fe", suspicion.fence);
        writer.flag("cl", suspicion.isClosed);
        writer.number("lt", suspicion.leadingTerm);
    }

    PrimarySuspicion readPrimarySuspicion(CborReader& reader)
    {
        PrimarySuspicion suspicion;
        suspicion.number = reader.number("n");
        suspicion.group = reader.identifier<GroupId>("g");
        suspicion.primary = reader.identifier<EndpointId>("p");
        suspicion.silentFor = reader.milliseconds("si");
        suspicion.stepDownTerm = reader.number("sd");
        suspicion.fence = reader.number("fe");
        suspicion.isClosed = reader.flag("cl");
        suspicion.leadingTerm = reader.number("lt");
        return suspicion;
    }

    void write(Json& map, const PrimarySuspicionAnswer& answer)
    {
        CborWriter writer(map);
        writer.number("n", answer.number);
        writer.enumeration("o", answer.opinion);
        writer.flag("ho", answer.isHolding);
        if (answer.acknowledged != LogPosition())
            writer.position("ap", answer.acknowledged);
        if (!answer.stepDown)
            return;
        map["sr"] = static_cast<std::uint64_t>(answer.stepDown->result);
        writer.flag("ip", answer.stepDown->status.isPrimary);
        writer.number("tm", answer.stepDown->status.term);
        writer.position("rp", answer.stepDown->status.received);
    }

    PrimarySuspicionAnswer readPrimarySuspicionAnswer(CborReader& reader)
    {
        PrimarySuspicionAnswer answer;
        answer.number = reader.number("n");
        answer.opinion = reader.enumeration("o", PrimaryOpinion::Fails);
        answer.isHolding = reader.flag("ho");
        answer.acknowledged = readPosition(reader, "ap");
        if (reader.has("sr")) {
            StepDownReport report;
            report.result = reader.enumeration("sr", StepDownResult::Unreachable);
            report.status = { reader.flag("ip"), reader.number("tm"), readPosition(reader, "rp") };
            answer.stepDown = report;
        }
        return answer;
    }

    void write(Json& map, const OwnerProbe& probe) { writeGroupReports(map, probe.reports); }

    void write(Json& map, const OwnerProbeAnswer& answer) { writeGroupReports(map, answer.reports); }

    void write(Json& map, const QuotaRequest& request)
    {
        CborWriter writer(map);
        writer.number("n", request.number);
        writer.text("cu", request.customer);
        writer.number("o", request.operations);
        writer.number("ur", request.urgent);
        writer.number("u", request.unused);
    }

    QuotaRequest readQuotaRequest(CborReader& reader)
    {
        QuotaRequest request;
        request.number = reader.number("n");
        request.customer = reader.identifier<CustomerId>("cu");
        request.operations = reader.number("o");
        request.urgent = reader.number("ur");
        request.unused = reader.number("u");
        return request;
    }

    void write(Json& map, const QuotaAnswer& answer)
    {
        CborWriter writer(map);
        writer.number("n", answer.number);
        writer.number("g", answer.granted);
        writer.number("gu", answer.grantedUrgent);
        writer.milliseconds("ra", answer.retryAfter);
    }

    QuotaAnswer readQuotaAnswer(CborReader& reader)
    {
        QuotaAnswer answer;
        answer.number = reader.number("n");
        answer.granted = reader.number("g");
        answer.grantedUrgent = reader.number("gu");
        answer.retryAfter = reader.milliseconds("ra");
        return answer;
    }

    Message readBody(std::uint64_t type, CborReader& reader)
    {
        switch (type) {
        case 0:
            return readForwardRequest(reader);
        case 1:
            return readForwardReply(reader);
        case 2:
            return readGossip(reader);
        case 3:
            return readConfigRequest(reader);
        case 4:
            return readConfigReply(reader);
        case 5:
            return readSuspicionReport(reader);
        case 6:
            return readPrimaryView(reader);
        case 7:
            return readSessionStatement(reader);
        case 8:
            return readSessionAnswer(reader);
        case 9:
            return readSessionTransactionEnd(reader);
        case 10:
            return readSessionAbandon(reader);
        case 11:
            return readStoreUpdateRequest(reader);
        case 12:
            return readStoreUpdate(reader);
        case 13:
            return readPrimarySuspicion(reader);
        case 14:
            return readPrimarySuspicionAnswer(reader);
        case 15:
            return OwnerProbe { readGroupReports(reader) };
        case 16:
            return OwnerProbeAnswer { readGroupReports(reader) };
        case 17:
            return readQuotaRequest(reader);
        case 18:
            return readQuotaAnswer(reader);
        case 19:
            return readStorePartRequest(reader);
        default:
            return readStorePart(reader);
        }
    }

} // namespace

const char* toText(ForwardErrorCode code)
{
    switch (code) {
    case ForwardErrorCode::NotOwner:
        return "not_owner";
    case ForwardErrorCode::NotPrimary:
        return "not_primary";
    case ForwardErrorCode::Behind:
        return "behind";
    case ForwardErrorCode::Overloaded:
        return "overloaded";
    case ForwardErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ForwardErrorCode::EndpointUnavailable:
        return "endpoint_unavailable";
    case ForwardErrorCode::TransactionLost:
        return "transaction_lost";
    case ForwardErrorCode::NotConfirmed:
        return "not_confirmed";
    case ForwardErrorCode::ShuttingDown:
        return "shutting_down";
    case ForwardErrorCode::Rejected:
        break;
    }
    return "rejected";
}

bool isForwardable(const ForwardRequest& request)
{
    // Upper limit of the encoded size without the texts, each of which has a header.
    constexpr std::size_t fixedBytes = 512;
    std::size_t bytes = fixedBytes + request.key.size() + request.value.size();
    for (const std::string* name : { &request.requestId.text(), &request.caller.text(), &request.database.text(),
             &request.endpoint.text(), &request.transaction.text(), &request.traceparent }) {
        if (name->size() > maximumNameBytes)
            return false;
        bytes += name->size();
    }
    return bytes <= maximumMessageBytes;
}

std::string encodeMessage(const Message& message)
{
    Json map = { { "v", static_cast<unsigned>(wireVersion) }, { "t", message.index() } };
    std::visit(
        [&map](const auto& alternative) {
            using Type = std::decay_t<decltype(alternative)>;
            if constexpr (isSessionMessage<Type>)
                writeSessionMessage(map, alternative);
            else if constexpr (isStoreMessage<Type>)
                writeStoreMessage(map, alternative);
            else
                write(map, alternative);
        },
        message);
    std::string bytes;
    Json::to_cbor(map, bytes);
    return bytes;
}

Result<Message, std::string> decodeMessage(const std::string& bytes)
{
    if (bytes.size() > maximumMessageBytes)
        return std::string("message is too large");
    const Json map = parseCbor(bytes);
    if (!map.is_object())
        return std::string("message is no CBOR map");
    CborReader reader(map);
    if (!reader.has("t"))
        return std::string("field 't' is missing");
    if (reader.number("v") != static_cast<std::uint64_t>(wireVersion))
        return std::string("message has another wire version");
    const std::uint64_t type = reader.number("t", lastMessageType);
    if (!reader.firstError().empty())
        return reader.firstError();
    Message message = readBody(type, reader);
    if (!reader.firstError().empty())
        return reader.firstError();
    return message;
}

} // namespace almondlever

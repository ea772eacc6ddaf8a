#include "PlatformCodec.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusTooManyRequests = 429;
    constexpr unsigned firstClientErrorStatus = 400;
    constexpr unsigned firstServerErrorStatus = 500;

    std::uint64_t readRevision(const Json& body)
    {
        const Json& revision = body.at("revision");
        if (!revision.is_number_unsigned())
            throw std::invalid_argument("'revision' is not a whole number");
        return revision.get<std::uint64_t>();
    }

    KeyValueError toKeyValueError(const HttpFailure& failure)
    {
        const auto code = failure.mayHaveBeenSent ? KeyValueError::Code::NoAnswer : KeyValueError::Code::NotSent;
        return { code, failure.reason, 0 };
    }

    /** After a server error or an unexpected status it is unknown whether a change took effect. */
    KeyValueError decodeErrorResponse(const HttpResponse& response)
    {
        const std::string detail = "the service answered with status " + std::to_string(response.status);
        if (response.status == statusTooManyRequests)
            return { KeyValueError::Code::RateLimited, detail, 0 };
        if (response.status == statusConflict)
            return { KeyValueError::Code::Conflict, detail, readRevision(Json::parse(response.body)) };
        if (response.status >= firstClientErrorStatus && response.status < firstServerErrorStatus)
            return { KeyValueError::Code::Rejected, detail, 0 };
        return { KeyValueError::Code::NoAnswer, detail, 0 };
    }

    template <typename Value, typename Read> KeyValueResult<Value> decode(const HttpResult& result, Read read)
    {
        if (!result)
            return toKeyValueError(result.error());
        try {
            if (result.value().status == statusOk)
                return Value(read(Json::parse(result.value().body)));
            return decodeErrorResponse(result.value());
        } catch (const std::exception& error) {
            return KeyValueError { KeyValueError::Code::NoAnswer,
                std::string("the answer cannot be read: ") + error.what(), 0 };
        }
    }

    VmListEntry decodeVm(const Json& object)
    {
        VmListEntry entry;
        entry.id = VmId(object.at("id").get<std::string>());
        const auto state = object.at("state").get<std::string>();
        if (entry.id.isEmpty() || (state != "live" && state != "leaving"))
            throw std::invalid_argument("a VM has no id or an unknown state");
        entry.state = state == "live" ? VmState::Live : VmState::Leaving;
        entry.failureDomain = FailureDomainId(object.at("failure_domain").get<std::string>());
        entry.peerAddress = object.value("peer_address", std::string());
        return entry;
    }

} // namespace

std::string escapeQueryValue(const std::string& text)
{
    const std::string unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr const char* digits = "0123456789ABCDEF";
    std::string escaped;
    for (const char character : text) {
        if (unreserved.find(character) != std::string::npos) {
            escaped += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        escaped += '%';
        escaped += digits[byte / 16];
        escaped += digits[byte % 16];
    }
    return escaped;
}

KeyValueResult<std::optional<VersionedValue>> decodeGetAnswer(const HttpResult& result)
{
    if (result && result.value().status == statusNotFound)
        return std::optional<VersionedValue>();
    return decode<std::optional<VersionedValue>>(result, [](const Json& body) {
        return VersionedValue { body.at("value").get<std::string>(), readRevision(body) };
    });
}

KeyValueResult<std::uint64_t> decodeWriteAnswer(const HttpResult& result)
{
    return decode<std::uint64_t>(result, [](const Json& body) { return readRevision(body); });
}

KeyValueResult<std::vector<std::string>> decodeKeyList(const HttpResult& result)
{
    return decode<std::vector<std::string>>(
        result, [](const Json& body) { return body.at("keys").get<std::vector<std::string>>(); });
}

Result<std::vector<VmListEntry>, std::string> decodeVmList(const HttpResult& result)
{
    const auto decoded = decode<std::vector<VmListEntry>>(result, [](const Json& body) {
        const Json& vms = body.at("vms");
        if (!vms.is_array())
            throw std::invalid_argument("'vms' is not a list");
        std::vector<VmListEntry> entries;
        for (const Json& vm : vms)
            entries.push_back(decodeVm(vm));
        return entries;
    });
    if (!decoded)
        return decoded.error().detail;
    return decoded.value();
}

} // namespace almondlever

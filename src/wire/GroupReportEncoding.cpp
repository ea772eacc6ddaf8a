#include "GroupReportEncoding.h"

#include <algorithm>
#include <optional>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    // A report is an array [group, number, period in ms, endpoints, customers]. The last two are flat arrays, because
    // decoders refuse containers nested more than four deep: the number of fields of an entry, then the fields of all
    // entries. An endpoint has [name, kind, answers, mean latency, unloaded latency, failures, refusals, running], with
    // latencies in units of 0.1 ms. Later versions append fields, which are ignored. Maps would take three times the
    // bytes.
    constexpr std::size_t reportFields = 5;
    constexpr std::size_t endpointFields = 8;
    constexpr std::size_t customerFields = 2;
    constexpr std::uint64_t microsecondsPerUnit = 100;
    /** About 28 hours; larger times are not plausible and would overflow sums. */
    constexpr std::uint64_t maximumTime = 100'000'000;
    constexpr std::uint64_t maximumCount = 1'000'000'000;

    std::uint64_t clamp(std::uint64_t value, std::uint64_t maximum) { return std::min(value, maximum); }

    std::uint64_t toUnits(Microseconds time)
    {
        const auto count = static_cast<std::uint64_t>(std::max<Microseconds::rep>(time.count(), 0));
        return clamp((count + microsecondsPerUnit / 2) / microsecondsPerUnit, maximumTime);
    }

    std::uint64_t toNumber(Milliseconds time)
    {
        return clamp(static_cast<std::uint64_t>(std::max<Milliseconds::rep>(time.count(), 0)), maximumTime);
    }

    Json encode(const GroupReport& report)
    {
        Json endpoints = Json::array();
        if (!report.endpoints.empty())
            endpoints.push_back(endpointFields);
        for (const EndpointReport& entry : report.endpoints) {
            endpoints.push_back(entry.endpoint.text());
            for (const std::uint64_t field : { entry.kind, clamp(entry.answers, maximumCount),
                     toUnits(entry.meanLatency), toUnits(entry.unloadedLatency), clamp(entry.failures, maximumCount),
                     clamp(entry.refusals, maximumCount), clamp(entry.running, maximumCount) })
                endpoints.push_back(field);
        }
        Json customers = Json::array();
        if (!report.customers.empty())
            customers.push_back(customerFields);
        for (const CustomerSlotTime& entry : report.customers) {
            customers.push_back(entry.customer.text());
            customers.push_back(toNumber(entry.slotTime));
        }
        return Json::array({ report.group.text(), report.number, toNumber(report.period), std::move(endpoints),
            std::move(customers) });
    }

    bool isName(const Json& value)
    {
        return value.is_string() && value.get_ref<const std::string&>().size() <= maximumNameBytes;
    }

    bool isNumber(const Json& value, std::uint64_t maximum)
    {
        return value.is_number_unsigned() && value.get<std::uint64_t>() <= maximum;
    }

    Microseconds toTime(const Json& units)
    {
        return Microseconds(static_cast<Microseconds::rep>(units.get<std::uint64_t>() * microsecondsPerUnit));
    }

    /** Returns the number of fields of an entry of a flat array; nullopt when the array is malformed. */
    std::optional<std::size_t> fieldsPerEntry(const Json& flat, std::size_t atLeast, std::size_t maximumEntries)
    {
        constexpr std::size_t maximumFields = 64;
        if (!flat.is_array())
            return std::nullopt;
        if (flat.empty())
            return atLeast;
        if (!isNumber(flat[0], maximumFields))
            return std::nullopt;
        const auto fields = flat[0].get<std::size_t>();
        const bool isValid
            = fields >= atLeast && (flat.size() - 1) % fields == 0 && (flat.size() - 1) / fields <= maximumEntries;
        return isValid ? std::optional<std::size_t>(fields) : std::nullopt;
    }

    bool readEndpoint(const Json& flat, std::size_t at, EndpointReport& report)
    {
        const bool isValid = isName(flat[at]) && flat[at + 1].is_number_unsigned()
            && isNumber(flat[at + 2], maximumCount) && isNumber(flat[at + 3], maximumTime)
            && isNumber(flat[at + 4], maximumTime) && isNumber(flat[at + 5], maximumCount)
            && isNumber(flat[at + 6], maximumCount) && isNumber(flat[at + 7], maximumCount);
        if (!isValid)
            return false;
        report.endpoint = EndpointId(flat[at].get<std::string>());
        report.kind = flat[at + 1].get<std::uint64_t>();
        report.answers = flat[at + 2].get<std::uint64_t>();
        report.meanLatency = toTime(flat[at + 3]);
        report.unloadedLatency = toTime(flat[at + 4]);
        report.failures = flat[at + 5].get<std::uint64_t>();
        report.refusals = flat[at + 6].get<std::uint64_t>();
        report.running = flat[at + 7].get<std::uint64_t>();
        return true;
    }

    bool readCustomer(const Json& flat, std::size_t at, CustomerSlotTime& customer)
    {
        if (!isName(flat[at]) || !isNumber(flat[at + 1], maximumTime))
            return false;
        customer.customer = CustomerId(flat[at].get<std::string>());
        customer.slotTime = Milliseconds(static_cast<Milliseconds::rep>(flat[at + 1].get<std::uint64_t>()));
        return true;
    }

    bool readReport(const Json& entry, GroupReport& report)
    {
        const bool isValid = entry.is_array() && entry.size() >= reportFields && isName(entry[0])
            && entry[1].is_number_unsigned() && isNumber(entry[2], maximumTime);
        if (!isValid)
            return false;
        const Json& endpoints = entry[3];
        const Json& customers = entry[4];
        const auto ofEndpoint = fieldsPerEntry(endpoints, endpointFields, maximumReportedKinds);
        const auto ofCustomer = fieldsPerEntry(customers, customerFields, maximumReportedCustomers);
        if (!ofEndpoint || !ofCustomer)
            return false;
        report.group = GroupId(entry[0].get<std::string>());
        report.number = entry[1].get<std::uint64_t>();
        report.period = Milliseconds(static_cast<Milliseconds::rep>(entry[2].get<std::uint64_t>()));
        for (std::size_t at = 1; at < endpoints.size(); at += *ofEndpoint) {
            if (!readEndpoint(endpoints, at, report.endpoints.emplace_back()))
                return false;
        }
        for (std::size_t at = 1; at < customers.size(); at += *ofCustomer) {
            if (!readCustomer(customers, at, report.customers.emplace_back()))
                return false;
        }
        return true;
    }

} // namespace

std::size_t encodedSize(const GroupReport& report)
{
    std::string bytes;
    Json::to_cbor(encode(report), bytes);
    return bytes.size();
}

void writeGroupReports(Json& map, const std::vector<GroupReport>& reports)
{
    if (reports.empty())
        return;
    Json& encoded = map["rs"] = Json::array();
    for (const GroupReport& report : reports)
        encoded.push_back(encode(report));
}

std::vector<GroupReport> readGroupReports(CborReader& reader)
{
    std::vector<GroupReport> reports;
    for (const Json& entry : reader.array("rs", maximumReports)) {
        GroupReport report;
        if (!readReport(entry, report)) {
            reader.fail("rs", "contains a malformed report");
            break;
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace almondlever

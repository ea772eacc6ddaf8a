#include "almondlever/wire/Messages.h"

#include <criterion/criterion.h>
#include <limits>

using namespace almondlever;

namespace {

/** A probe and its answer as commit 2091f58 encodes them. */
const char* const formerProbe = "a261740f617601";
const char* const formerProbeAnswer = "a2617410617601";
/** Messages of this version, which the decoder of 2091f58 reads like formerProbe and formerProbeAnswer. */
const char* const probeWithReports = "a36272738285666c65646765720c190fa09108616102181819026718ea010203616200071858184f0"
                                     "000018302646d696c6c1901e0856573746f636b0d190fa0808061740f617601";
const char* const answerWithReports = "a36272738285666c65646765720c190fa09108616102181819026718ea010203616200071858184f"
                                      "0000018302646d696c6c1901e0856573746f636b0d190fa08080617410617601";

std::string toHex(const std::string& bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

std::string fromHex(const std::string& text)
{
    std::string bytes;
    for (std::size_t position = 0; position < text.size(); position += 2)
        bytes += static_cast<char>(std::stoi(text.substr(position, 2), nullptr, 16));
    return bytes;
}

template <typename Type> Type decode(const std::string& bytes)
{
    const auto decoded = decodeMessage(bytes);
    cr_assert(decoded.hasValue() && std::holds_alternative<Type>(decoded.value()));
    return std::get<Type>(decoded.value());
}

std::vector<GroupReport> makeReports()
{
    GroupReport report;
    report.group = GroupId("ledger");
    report.number = 12;
    report.period = Milliseconds(4000);
    report.endpoints.push_back({ EndpointId("a"), 2, 24, Microseconds(61500), Microseconds(23400), 1, 2, 3 });
    report.endpoints.push_back({ EndpointId("b"), 0, 7, Microseconds(8800), Microseconds(7900), 0, 0, 1 });
    report.customers.push_back({ CustomerId("mill"), Milliseconds(480) });
    GroupReport other;
    other.group = GroupId("stock");
    other.number = 13;
    other.period = Milliseconds(4000);
    return { report, other };
}

} // namespace

// Daemons of two versions run side by side while VMs are replaced. Guards against refusing a probe of the former
// version, which closes the channel, and against changing the probes of a daemon that reports nothing.
Test(GroupReports, probesOfTheFormerVersionAreReadAndWritten)
{
    cr_assert(decode<OwnerProbe>(fromHex(formerProbe)).reports.empty());
    cr_assert(decode<OwnerProbeAnswer>(fromHex(formerProbeAnswer)).reports.empty());
    cr_assert_eq(toHex(encodeMessage(OwnerProbe {})), std::string(formerProbe));
    cr_assert_eq(toHex(encodeMessage(OwnerProbeAnswer {})), std::string(formerProbeAnswer));
}

// The decoder of the former version was run on these bytes. It refuses containers nested more than four deep. Guards
// against a message that it has not read.
Test(GroupReports, formerVersionReadsProbesWithReports)
{
    cr_assert_eq(toHex(encodeMessage(OwnerProbe { makeReports() })), std::string(probeWithReports));
    cr_assert_eq(toHex(encodeMessage(OwnerProbeAnswer { makeReports() })), std::string(answerWithReports));
}

// Guards against a report that loses a field in transit.
Test(GroupReports, reportsAreReadAsWritten)
{
    for (const auto& reports : { decode<OwnerProbe>(encodeMessage(OwnerProbe { makeReports() })).reports,
             decode<OwnerProbeAnswer>(encodeMessage(OwnerProbeAnswer { makeReports() })).reports }) {
        cr_assert_eq(reports.size(), 2U);
        const GroupReport& report = reports[0];
        cr_assert(report.group == GroupId("ledger") && reports[1].group == GroupId("stock"));
        cr_assert_eq(report.number, 12U);
        cr_assert(report.period == Milliseconds(4000));
        cr_assert_eq(report.endpoints.size(), 2U);
        const EndpointReport& entry = report.endpoints[0];
        cr_assert(entry.endpoint == EndpointId("a") && report.endpoints[1].endpoint == EndpointId("b"));
        cr_assert(entry.kind == 2 && entry.answers == 24 && entry.failures == 1 && entry.refusals == 2);
        cr_assert_eq(entry.running, 3U);
        cr_assert(entry.meanLatency == Microseconds(61500) && entry.unloadedLatency == Microseconds(23400));
        cr_assert_eq(report.customers.size(), 1U);
        cr_assert(report.customers[0].customer == CustomerId("mill"));
        cr_assert(report.customers[0].slotTime == Milliseconds(480));
    }
}

// A later version may add fields to a report and to its entries. Guards against refusing them.
Test(GroupReports, fieldsOfALaterVersionAreIgnored)
{
    // ["g", 1, 4000, [9, "a", 2, 5, 100, 90, 0, 0, 1, 77], [3, "c", 20, 7], "new"]
    const auto probe = decode<OwnerProbe>(
        fromHex("a361740f6176016272738186616701190fa08a09616102051864185a000001184d840361631407636e6577"));
    cr_assert_eq(probe.reports.size(), 1U);
    cr_assert_eq(probe.reports[0].endpoints.size(), 1U);
    cr_assert_eq(probe.reports[0].endpoints[0].running, 1U);
    cr_assert_eq(probe.reports[0].customers.size(), 1U);
    cr_assert(probe.reports[0].customers[0].slotTime == Milliseconds(20));
}

// Guards against malformed reports that take a daemon down or are read in part.
Test(GroupReports, malformedReportsAreRefused)
{
    const std::string whole = encodeMessage(OwnerProbe { makeReports() });
    for (std::size_t length = 0; length < whole.size(); ++length)
        cr_assert(!decodeMessage(whole.substr(0, length)));
    // An incomplete entry, entries of too few fields, and a name that is a number.
    for (const char* report : { "85616701190fa0830861610080", "85616701190fa084036161000180", "850101190fa08080" })
        cr_assert(!decodeMessage(fromHex(std::string("a361740f61760162727381") + report)));
    cr_assert(decodeMessage(fromHex("a361740f6176016272738185616701190fa08908616102051864185a00000180")).hasValue());
    GroupReport extreme = makeReports()[0];
    extreme.endpoints[0].meanLatency = Microseconds(-5);
    extreme.endpoints[0].answers = std::numeric_limits<std::uint64_t>::max();
    const auto read = decode<OwnerProbe>(encodeMessage(OwnerProbe { { extreme } }));
    cr_assert(read.reports[0].endpoints[0].meanLatency == Microseconds(0));
}

// The budget of 1 KB/s per daemon allows about 200 bytes for a report of three endpoints and two kinds of statement.
// Guards against an encoding that grows beyond it.
Test(GroupReports, reportOfThreeEndpointsFitsTheBudget)
{
    GroupReport report;
    report.group = GroupId("payments-7");
    report.number = 4000;
    report.period = Milliseconds(4000);
    for (const char* endpoint : { "payments-7-a", "payments-7-b", "payments-7-c" }) {
        for (const std::uint64_t kind : { 0U, 2U })
            report.endpoints.push_back(
                { EndpointId(endpoint), kind, 24, Microseconds(61500), Microseconds(23400), 1, 2, 3 });
    }
    cr_assert_leq(encodedSize(report), 200U);
    const std::size_t message = encodeMessage(OwnerProbe { { report } }).size();
    const std::size_t empty = encodeMessage(OwnerProbe {}).size();
    cr_assert_leq(message - empty, encodedSize(report) + 4);
}

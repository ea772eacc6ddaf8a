// Writes a Report as JSON and as Markdown.
#include "Report.h"

#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace almondlever::load {

namespace {

    using Json = nlohmann::ordered_json;

    /** Violations listed in Markdown; the JSON report has all. */
    constexpr std::size_t listedViolations = 20;

    double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    double share(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    }

    Json encode(const RankService& service)
    {
        return { { "phase", service.phase }, { "rank", service.rank }, { "phase_s", service.phaseSeconds },
            { "offered_requests", service.offered }, { "not_sent_requests", service.notSent },
            { "attempts", service.attempts }, { "answered_requests", service.answered },
            { "answered_per_s", service.answeredPerSecond() }, { "inside_deadline_requests", service.insideDeadline },
            { "inside_deadline_share", service.insideDeadlineShare() }, { "refused_attempts", service.refused },
            { "unknown_attempts", service.unknown }, { "reads", service.reads },
            { "replica_read_share", share(service.replicaReads, service.reads) },
            { "latency_p50_ms", milliseconds(service.latencyMedian) },
            { "latency_p90_ms", milliseconds(service.latency90) },
            { "latency_p99_ms", milliseconds(service.latency99) },
            { "latency_p999_ms", milliseconds(service.latency999) }, { "floor_per_s", service.floorPerSecond },
            { "share_of_floor", service.shareOfFloor() } };
    }

    Json encode(const WriteGap& gap)
    {
        return { { "fault", gap.fault }, { "fault_at_ms", milliseconds(gap.faultAt) }, { "database", gap.database },
            { "longest_gap_ms", milliseconds(gap.gap) }, { "usual_gap_ms", milliseconds(gap.usualGap) },
            { "last_before_to_first_after_ms", milliseconds(gap.lastBeforeToFirstAfter) },
            { "term_before", gap.termBefore }, { "term_after", gap.termAfter }, { "recovered", gap.hasRecovered } };
    }

    Json encode(const EndpointUsage& usage)
    {
        const EndpointFigures& last = usage.last;
        return { { "connections_open", last.connectionsOpen }, { "connections_peak", last.connectionsPeak },
            { "connections_limit", last.connectionsLimit }, { "connections_refused", last.connectionsRefused },
            { "slots", last.slots }, { "slots_peak", last.slotsPeak }, { "statements_run", usage.statementsRun },
            { "statements_refused_busy", last.statementsRefusedBusy } };
    }

    Json encode(const CheckCounts& counts)
    {
        return { { "acknowledged_writes", counts.acknowledgedWrites },
            { "committed_transactions", counts.committedTransactions }, { "session_reads", counts.sessionReads },
            { "keys_written", counts.keysWritten }, { "keys_read_back", counts.keysReadBack },
            { "logs_compared", counts.logsCompared }, { "log_entries_compared", counts.logEntriesCompared } };
    }

    using Output = std::back_insert_iterator<std::string>;

    void writeServices(Output out, const Report& report)
    {
        fmt::format_to(out,
            "## Service by phase and rank\n\n"
            "Latencies are upper bounds of histogram bins about 31 % wide, client latency included.\n\n"
            "| phase | rank | offered | not sent | answered | answered/s | inside deadline | refused | unknown | p50 "
            "ms | "
            "p90 ms | p99 ms | p99.9 ms | replica reads | floor/s | share of floor |\n"
            "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
        for (const RankService& service : report.services) {
            fmt::format_to(out,
                "| {} | {} | {} | {} | {} | {:.1f} | {:.2f} % | {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} % "
                "| {:.0f} | {:.1f} % |\n",
                service.phase, service.rank, service.offered, service.notSent, service.answered,
                service.answeredPerSecond(), 100 * service.insideDeadlineShare(), service.refused, service.unknown,
                milliseconds(service.latencyMedian), milliseconds(service.latency90), milliseconds(service.latency99),
                milliseconds(service.latency999), 100 * share(service.replicaReads, service.reads),
                service.floorPerSecond, 100 * service.shareOfFloor());
        }
    }

    void writeGaps(Output out, const Report& report)
    {
        fmt::format_to(out, "\n## Faults and gaps in acknowledged writes\n\n");
        if (report.faults.empty()) {
            fmt::format_to(out, "No faults.\n");
            return;
        }
        fmt::format_to(out, "| at s | fault | carried out |\n|--:|---|---|\n");
        for (const FaultRecord& fault : report.faults)
            fmt::format_to(out, "| {:.1f} | `{}` | {} |\n", milliseconds(fault.at) / 1000, fault.description,
                fault.error.empty() ? "yes" : "no: " + fault.error);
        fmt::format_to(out,
            "\n| at s | database | longest gap ms | usual gap ms | last before to first after ms | term before | term "
            "after | recovered |\n|--:|---|--:|--:|--:|--:|--:|---|\n");
        for (const WriteGap& gap : report.writeGaps) {
            fmt::format_to(out, "| {:.1f} | {} | {:.0f} | {:.0f} | {:.0f} | {} | {} | {} |\n",
                milliseconds(gap.faultAt) / 1000, gap.database, milliseconds(gap.gap), milliseconds(gap.usualGap),
                milliseconds(gap.lastBeforeToFirstAfter), gap.termBefore, gap.termAfter,
                gap.hasRecovered ? "yes" : "no");
        }
    }

    void writeUsage(Output out, const Report& report)
    {
        fmt::format_to(out, "\n## Connections and slots\n\n");
        if (report.usage.endpoints().empty()) {
            fmt::format_to(out, "Not measured: no control address was given, or none answered.\n");
            return;
        }
        fmt::format_to(out,
            "| server | connections peak | limit | refused | slots peak | slots | statements run | refused busy |\n"
            "|---|--:|--:|--:|--:|--:|--:|--:|\n");
        for (const auto& [name, usage] : report.usage.endpoints()) {
            const EndpointFigures& last = usage.last;
            fmt::format_to(out, "| {} | {} | {} | {} | {} | {} | {} | {} |\n", name, last.connectionsPeak,
                last.connectionsLimit, last.connectionsRefused, last.slotsPeak, last.slots, usage.statementsRun,
                last.statementsRefusedBusy);
        }
        fmt::format_to(out, "\n| phase | slots busy (mean of samples) | samples |\n|---|--:|--:|\n");
        for (const auto& [phase, usage] : report.usage.phases())
            fmt::format_to(out, "| {} | {:.1f} % | {} |\n", phase, 100 * usage.busyShare(), usage.samples);
    }

    void writeThroughput(Output out, const Report& report)
    {
        fmt::format_to(
            out, "\n## Answered attempts in each second\n\n| rank | from the first second on |\n|---|---|\n");
        for (const auto& [rank, counts] : report.answeredBySecond)
            fmt::format_to(out, "| {} | {} |\n", rank, fmt::join(counts, " "));
    }

    void writeCheck(Output out, const Report& report)
    {
        const CheckCounts& counts = report.check.counts;
        fmt::format_to(out,
            "\n## Promises\n\nChecked: {} acknowledged writes, {} committed transactions, {} reads in sessions, {} of "
            "{} "
            "written keys read back, {} logs with {} entries.\n\n",
            counts.acknowledgedWrites, counts.committedTransactions, counts.sessionReads, counts.keysReadBack,
            counts.keysWritten, counts.logsCompared, counts.logEntriesCompared);
        const auto& violations = report.check.violations;
        if (violations.empty()) {
            fmt::format_to(out, "No violation was found.\n");
            return;
        }
        fmt::format_to(out, "**{} violations.** The first ones:\n\n", violations.size());
        for (std::size_t number = 0; number < std::min(violations.size(), listedViolations); ++number) {
            const Violation& violation = violations[number];
            fmt::format_to(out, "- `{}`: {} (operations {})\n", toText(violation.kind), violation.detail,
                fmt::join(violation.operations, ", "));
        }
    }

} // namespace

std::string toJson(const Report& report)
{
    Json json { { "deployment", report.deployment }, { "run_id", report.runId }, { "seed", report.seed },
        { "services", Json::array() }, { "write_gaps", Json::array() }, { "faults", Json::array() },
        { "answered_attempts_by_second", report.answeredBySecond }, { "endpoints", Json::object() },
        { "slots_busy_share_by_phase", Json::object() }, { "checked", encode(report.check.counts) },
        { "violations", Json::array() } };
    for (const RankService& service : report.services)
        json["services"].push_back(encode(service));
    for (const WriteGap& gap : report.writeGaps)
        json["write_gaps"].push_back(encode(gap));
    for (const FaultRecord& fault : report.faults)
        json["faults"].push_back({ { "description", fault.description }, { "at_ms", milliseconds(fault.at) },
            { "database", fault.database }, { "error", fault.error } });
    for (const auto& [name, usage] : report.usage.endpoints())
        json["endpoints"][name] = encode(usage);
    for (const auto& [phase, usage] : report.usage.phases())
        json["slots_busy_share_by_phase"][phase] = usage.busyShare();
    for (const Violation& violation : report.check.violations)
        json["violations"].push_back({ { "kind", toText(violation.kind) }, { "detail", violation.detail },
            { "operations", violation.operations } });
    return json.dump(2) + '\n';
}

std::string toMarkdown(const Report& report)
{
    std::string text;
    const Output out = std::back_inserter(text);
    fmt::format_to(out, "# Load run `{}` on {}\n\nSeed {}. {}\n\n", report.runId, report.deployment, report.seed,
        report.check.violations.empty() ? "No promise broke." : "**Promises broke.**");
    writeServices(out, report);
    writeGaps(out, report);
    writeUsage(out, report);
    writeThroughput(out, report);
    writeCheck(out, report);
    return text;
}

} // namespace almondlever::load

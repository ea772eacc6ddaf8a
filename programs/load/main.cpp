#include "AlmondleverVersion.h"
#include "HistoryChecker.h"
#include "HistoryFile.h"
#include "LoadRun.h"
#include "Report.h"
#include "Workload.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace almondlever;
using namespace almondlever::load;

constexpr int exitGood = 0;
constexpr int exitPromiseBroken = 1;
constexpr int exitUsage = 2;
/** The run gave nothing that could be judged, or did not do what its workload says. */
constexpr int exitIncomplete = 3;

struct Flags {
    std::string workload;
    std::string checkedHistory;
    std::string history;
    std::string reportJson;
    std::string reportMarkdown;
    std::int64_t clientLatencyMs = -1;
    std::int64_t seed = -1;
    std::size_t threads = 0;
    LoadRunSettings run;
};

std::vector<HttpAddress> parseAddresses(const std::string& text, const char* flag)
{
    std::vector<HttpAddress> addresses;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const auto address = parseHttpAddress(text.substr(begin, end - begin));
        if (!address)
            throw TCLAP::ArgException(address.error(), flag);
        addresses.push_back(address.value());
        begin = end + 1;
    }
    return addresses;
}

ProcessNames parseProcesses(const std::vector<std::string>& texts)
{
    ProcessNames processes;
    for (const std::string& text : texts) {
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos || equals == 0 || equals + 1 == text.size())
            throw TCLAP::ArgException("'" + text + "' must be NAME=PID or NAME=@FILE", "--process");
        processes[text.substr(0, equals)] = text.substr(equals + 1);
    }
    return processes;
}

Flags readFlags(int argumentCount, char** arguments)
{
    TCLAP::CmdLine line(
        "Drives a mix of callers against daemons, records every operation and checks the promises. Ends "
        "with 0 when none broke, 1 when one broke, 2 on wrong usage, 3 when the run cannot be judged.",
        ' ', buildVersion);
    TCLAP::ValueArg<std::string> daemons("", "daemons", "Daemons, with commas", false, "", "ip:port,...", line);
    TCLAP::ValueArg<std::string> workload("", "workload", "Workload in YAML", false, "", "file", line);
    TCLAP::ValueArg<std::string> controls(
        "", "control", "Control interfaces of stand-ins, with commas", false, "", "ip:port,...", line);
    TCLAP::MultiArg<std::string> processes(
        "", "process", "Process that faults may signal; @FILE holds its id", false, "NAME=PID", line);
    TCLAP::ValueArg<std::int64_t> latency("", "client-latency-ms",
        "Latency added on each way between callers and daemons; overrides the workload", false, -1, "ms", line);
    TCLAP::ValueArg<std::int64_t> seed("", "seed", "Seed; overrides the workload", false, -1, "number", line);
    TCLAP::ValueArg<std::size_t> threads("", "threads", "Threads; overrides the workload", false, 0, "number", line);
    TCLAP::ValueArg<std::string> runId(
        "", "run-id", "Begins every key; must differ between runs on the same databases", false, "", "text", line);
    TCLAP::ValueArg<std::string> history("", "history", "History to write, JSON lines", false, "", "file", line);
    TCLAP::ValueArg<std::string> reportJson("", "report-json", "Report to write as JSON", false, "", "file", line);
    TCLAP::ValueArg<std::string> reportMarkdown(
        "", "report-markdown", "Report to write as Markdown; printed when no file is named", false, "", "file", line);
    TCLAP::ValueArg<std::string> check(
        "", "check", "Only check a history that an earlier run wrote", false, "", "file", line);
    line.parse(argumentCount, arguments);

    Flags flags { workload.getValue(), check.getValue(), history.getValue(), reportJson.getValue(),
        reportMarkdown.getValue(), latency.getValue(), seed.getValue(), threads.getValue(), {} };
    flags.run.daemons = parseAddresses(daemons.getValue(), "--daemons");
    flags.run.controls = parseAddresses(controls.getValue(), "--control");
    flags.run.processes = parseProcesses(processes.getValue());
    flags.run.runId = runId.getValue();
    const bool isRun = flags.checkedHistory.empty();
    if (isRun && (flags.run.daemons.empty() || flags.workload.empty()))
        throw TCLAP::ArgException("give --daemons and --workload, or --check", "arguments");
    return flags;
}

void print(const Findings& findings)
{
    for (const Finding& finding : findings)
        std::cerr << describe(finding) << '\n';
}

void print(const std::vector<Violation>& violations)
{
    for (const Violation& violation : violations)
        std::cerr << fmt::format("{}: {} (operations {})\n", toText(violation.kind), violation.detail,
            fmt::join(violation.operations, ", "));
}

bool writeFile(const std::string& path, const std::string& text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    if (!file.good())
        std::cerr << "almondlever-load: cannot write " << path << '\n';
    return file.good();
}

int checkOnly(const std::string& path)
{
    const auto history = readHistory(path);
    if (!history) {
        print(history.error());
        return exitUsage;
    }
    const CheckResult result = HistoryChecker(history.value()).check();
    print(result.violations);
    std::cout << fmt::format("{} operations, {} acknowledged writes, {} keys read back, {} violations\n",
        history.value().operations.size(), result.counts.acknowledgedWrites, result.counts.keysReadBack,
        result.violations.size());
    return result.violations.empty() ? exitGood : exitPromiseBroken;
}

/** True when the run did what the workload says and every written key was read back, so that its verdict is complete.
 */
bool isComplete(const Report& report)
{
    bool isComplete = true;
    for (const FaultRecord& fault : report.faults) {
        if (fault.error.empty())
            continue;
        std::cerr << "almondlever-load: fault not carried out: " << fault.description << ": " << fault.error << '\n';
        isComplete = false;
    }
    if (report.check.counts.acknowledgedWrites == 0 || report.check.counts.keysReadBack == 0) {
        std::cerr << "almondlever-load: no write was acknowledged, or no key could be read back\n";
        isComplete = false;
    }
    if (report.check.counts.keysReadBack < report.check.counts.keysWritten) {
        std::cerr << fmt::format("almondlever-load: only {} of {} written keys could be read back\n",
            report.check.counts.keysReadBack, report.check.counts.keysWritten);
        isComplete = false;
    }
    return isComplete;
}

int run(const Flags& flags)
{
    auto loaded = loadWorkload(flags.workload);
    if (!loaded) {
        print(loaded.error());
        return exitUsage;
    }
    Workload workload = std::move(loaded.value());
    if (flags.clientLatencyMs >= 0)
        workload.clientLatency = Milliseconds(flags.clientLatencyMs);
    if (flags.seed >= 0)
        workload.seed = static_cast<std::uint64_t>(flags.seed);
    if (flags.threads > 0)
        workload.threads = flags.threads;
    LoadRunSettings settings = flags.run;
    if (settings.runId.empty())
        settings.runId = fmt::format("r{}-{:x}", workload.seed, Clock::now().time_since_epoch().count());

    HistoryWriter writer(flags.history);
    const LoadRunResult result = runLoad(workload, settings, writer);
    const Report report = buildReport(workload, settings.runId, result, HistoryChecker(result.history).check());
    const std::string markdown = toMarkdown(report);
    bool isWritten = writer.isGood();
    if (flags.reportMarkdown.empty())
        std::cout << markdown;
    else
        isWritten = writeFile(flags.reportMarkdown, markdown) && isWritten;
    if (!flags.reportJson.empty())
        isWritten = writeFile(flags.reportJson, toJson(report)) && isWritten;
    if (!report.check.violations.empty()) {
        print(report.check.violations);
        return exitPromiseBroken;
    }
    return isComplete(report) && isWritten ? exitGood : exitIncomplete;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    try {
        const Flags flags = readFlags(argumentCount, arguments);
        return flags.checkedHistory.empty() ? run(flags) : checkOnly(flags.checkedHistory);
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        return exitUsage;
    } catch (const std::exception& error) {
        std::cerr << "almondlever-load: " << error.what() << '\n';
        return exitIncomplete;
    }
}

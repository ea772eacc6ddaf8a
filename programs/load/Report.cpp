#include "Report.h"

#include "almondlever/observability/Metrics.h"

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>

namespace almondlever::load {

namespace {

    /** Longest primary change that the design allows; acknowledgements are looked for this long around a fault. */
    constexpr Microseconds gapWindow { 18'000'000 };
    constexpr const char* latencyFamily = "latency_seconds";

    std::string labelsOf(const std::string& phase, const std::string& rank)
    {
        return fmt::format("phase=\"{}\",rank=\"{}\"", phase, rank);
    }

    bool isAcknowledgedWrite(const Operation& operation, const std::string& database)
    {
        const bool isWrite = operation.type == OperationType::Commit
            || (operation.type == OperationType::Write && operation.transaction.empty());
        return isWrite && operation.isAcknowledged && operation.position.term > 0 && operation.database == database;
    }

    /** One request with all its attempts. */
    struct RequestSummary {
        const Operation* first = nullptr;
        const Operation* acknowledged = nullptr;
    };

    class ServiceTable {
    public:
        explicit ServiceTable(const Workload& workload)
            : workload_(workload)
        {
            for (const Phase& phase : workload.phases) {
                for (const CallerLoad& caller : workload.callers) {
                    RankService& service = services_[{ phase.name, caller.rank }];
                    service.phase = phase.name;
                    service.rank = caller.rank;
                    service.phaseSeconds = std::chrono::duration<double>(phase.duration).count();
                    service.floorPerSecond = caller.floor * workload.capacityPerSecond;
                }
            }
        }

        void addAttempt(const Operation& operation)
        {
            RankService& service = of(operation);
            ++service.attempts;
            if (!operation.isAcknowledged) {
                service.refused += operation.outcome == Outcome::NotRun ? 1 : 0;
                service.unknown += operation.outcome == Outcome::Unknown ? 1 : 0;
                return;
            }
            metrics_.observe(
                latencyFamily, labelsOf(operation.phase, operation.rank), operation.answeredAt - operation.sentAt);
            if (operation.type == OperationType::Read && operation.transaction.empty()) {
                ++service.reads;
                service.replicaReads += operation.isFromReplica ? 1 : 0;
            }
        }

        void addRequest(const RequestSummary& request)
        {
            RankService& service = of(*request.first);
            ++service.offered;
            if (!request.acknowledged)
                return;
            ++service.answered;
            const CallerLoad* caller = workload_.findCaller(request.first->caller);
            const bool isInside
                = caller && request.acknowledged->answeredAt - request.first->sentAt <= caller->deadline;
            service.insideDeadline += isInside ? 1 : 0;
        }

        void addNotSent(const std::string& phase, const std::string& caller, std::uint64_t count)
        {
            if (const CallerLoad* load = workload_.findCaller(caller))
                services_[{ phase, load->rank }].notSent += count;
        }

        std::vector<RankService> finish()
        {
            std::vector<RankService> ordered;
            for (const Phase& phase : workload_.phases) {
                for (const CallerLoad& caller : workload_.callers) {
                    const auto found = services_.find({ phase.name, caller.rank });
                    if (found == services_.end())
                        continue;
                    addLatencies(found->second);
                    ordered.push_back(found->second);
                    services_.erase(found);
                }
            }
            return ordered;
        }

    private:
        RankService& of(const Operation& operation) { return services_[{ operation.phase, operation.rank }]; }

        void addLatencies(RankService& service) const
        {
            const std::string labels = labelsOf(service.phase, service.rank);
            service.latencyMedian = metrics_.quantile(latencyFamily, labels, 0.5);
            service.latency90 = metrics_.quantile(latencyFamily, labels, 0.9);
            service.latency99 = metrics_.quantile(latencyFamily, labels, 0.99);
            service.latency999 = metrics_.quantile(latencyFamily, labels, 0.999);
        }

        const Workload& workload_;
        Metrics metrics_;
        std::map<std::pair<std::string, std::string>, RankService> services_;
    };

    std::vector<RankService> buildServices(const Workload& workload, const LoadRunResult& run)
    {
        ServiceTable table(workload);
        std::unordered_map<std::uint64_t, RequestSummary> requests;
        for (const Operation& operation : run.history.operations) {
            if (operation.type == OperationType::FinalRead)
                continue;
            table.addAttempt(operation);
            RequestSummary& request = requests[operation.firstAttempt];
            if (operation.number == operation.firstAttempt)
                request.first = &operation;
            if (operation.isAcknowledged)
                request.acknowledged = &operation;
        }
        for (const auto& [number, request] : requests) {
            if (request.first)
                table.addRequest(request);
        }
        for (const auto& [place, count] : run.unsentArrivals)
            table.addNotSent(place.first, place.second, count);
        return table.finish();
    }

    std::map<std::string, std::vector<std::uint64_t>> countBySecond(
        const Workload& workload, const std::vector<Operation>& operations)
    {
        std::map<std::string, std::vector<std::uint64_t>> counts;
        const auto seconds
            = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(workload.duration()).count());
        for (const Operation& operation : operations) {
            if (operation.type == OperationType::FinalRead || !operation.isAcknowledged)
                continue;
            auto& list = counts[operation.rank];
            list.resize(seconds);
            const auto second = static_cast<std::size_t>(
                std::chrono::duration_cast<std::chrono::seconds>(operation.answeredAt).count());
            if (second < seconds)
                ++list[second];
        }
        return counts;
    }

    /** Longest interval between neighbours that ends within (begin, end]. */
    Microseconds longestInterval(const std::vector<Microseconds>& moments, Microseconds begin, Microseconds end)
    {
        Microseconds longest { 0 };
        for (std::size_t next = 1; next < moments.size(); ++next) {
            if (moments[next] > begin && moments[next] <= end)
                longest = std::max(longest, moments[next] - moments[next - 1]);
        }
        return longest;
    }

} // namespace

double RankService::answeredPerSecond() const
{
    return phaseSeconds > 0 ? static_cast<double>(answered) / phaseSeconds : 0;
}

double RankService::insideDeadlineShare() const
{
    const std::uint64_t arrivals = offered + notSent;
    return arrivals == 0 ? 1 : static_cast<double>(insideDeadline) / static_cast<double>(arrivals);
}

double RankService::shareOfFloor() const
{
    if (phaseSeconds <= 0 || floorPerSecond <= 0)
        return 1;
    const double arrivalsPerSecond = static_cast<double>(offered + notSent) / phaseSeconds;
    const double guaranteed = std::min(arrivalsPerSecond, floorPerSecond);
    return guaranteed <= 0 ? 1 : std::min(1.0, answeredPerSecond() / guaranteed);
}

WriteGap measureWriteGap(
    const std::vector<Operation>& operations, const FaultRecord& fault, const std::string& database)
{
    WriteGap gap { fault.description, fault.at, database };
    std::vector<Microseconds> moments;
    Microseconds lastBefore { 0 };
    Microseconds firstAfter { Microseconds::max() };
    for (const Operation& operation : operations) {
        if (!isAcknowledgedWrite(operation, database))
            continue;
        moments.push_back(operation.answeredAt);
        if (operation.answeredAt <= fault.at) {
            lastBefore = std::max(lastBefore, operation.answeredAt);
            gap.termBefore = std::max(gap.termBefore, operation.position.term);
        }
        if (operation.sentAt >= fault.at)
            firstAfter = std::min(firstAfter, operation.answeredAt);
        if (operation.answeredAt <= fault.at + gapWindow)
            gap.termAfter = std::max(gap.termAfter, operation.position.term);
    }
    std::sort(moments.begin(), moments.end());
    gap.hasRecovered = firstAfter != Microseconds::max();
    gap.gap = longestInterval(moments, fault.at, fault.at + gapWindow);
    gap.usualGap = longestInterval(moments, fault.at - gapWindow, fault.at);
    if (gap.hasRecovered)
        gap.lastBeforeToFirstAfter = firstAfter - lastBefore;
    return gap;
}

Report buildReport(const Workload& workload, const std::string& runId, const LoadRunResult& run, CheckResult check)
{
    Report report { workload.deployment, runId, workload.seed, buildServices(workload, run), {},
        countBySecond(workload, run.history.operations), run.history.faults, run.usage, std::move(check) };
    for (const FaultRecord& fault : run.history.faults) {
        for (const auto& [database, endpoints] : workload.databases) {
            if (fault.database.empty() || fault.database == database)
                report.writeGaps.push_back(measureWriteGap(run.history.operations, fault, database));
        }
    }
    return report;
}

} // namespace almondlever::load

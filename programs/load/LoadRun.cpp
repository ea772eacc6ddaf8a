#include "LoadRun.h"

#include "FinalReader.h"
#include "LoadWorker.h"

#include <algorithm>
#include <asio.hpp>
#include <iterator>
#include <memory>
#include <thread>

namespace almondlever::load {

namespace {

    constexpr Milliseconds sampleInterval { 200 };
    /** Time between the start of the threads and the first arrival. */
    constexpr Milliseconds startDelay { 100 };

    /** Carries out the faults and samples the stand-in's figures on a thread of its own. */
    class Supervision {
    public:
        Supervision(const Workload& workload, const LoadRunSettings& settings)
            : workload_(workload)
            , context_(1)
            , timers_(context_)
            , standin_(context_, settings.controls)
            , faults_(workload, settings.processes, standin_, timers_)
        {
        }

        /** Runs until the last phase has ended. */
        void run(TimePoint start)
        {
            start_ = start;
            faults_.begin(start);
            isSampling_ = standin_.isUsed();
            if (isSampling_)
                sample();
            while (isSampling_ || faults_.records().size() < workload_.faults.size())
                context_.run_one();
            faults_.continueStopped();
        }

        std::vector<LogDump> getLogs()
        {
            std::vector<LogDump> logs;
            bool isDone = false;
            standin_.getLogs(workload_, [&logs, &isDone](std::vector<LogDump> gathered) {
                logs = std::move(gathered);
                isDone = true;
            });
            while (!isDone)
                context_.run_one();
            return logs;
        }

        const std::vector<FaultRecord>& faults() const { return faults_.records(); }
        UsageRecorder& usage() { return usage_; }

    private:
        void sample()
        {
            standin_.getFigures([this](const EndpointFiguresByName& figures) {
                const Duration elapsed = timers_.now() - start_;
                usage_.add(workload_.phaseAt(elapsed).name, figures);
                isSampling_ = elapsed < workload_.duration();
                if (isSampling_)
                    timers_.callAfter(sampleInterval, [this](TimePoint) { sample(); });
            });
        }

        const Workload& workload_;
        asio::io_context context_;
        AsioTimerService timers_;
        StandinClient standin_;
        FaultScript faults_;
        UsageRecorder usage_;
        TimePoint start_;
        bool isSampling_ = false;
    };

    void sortByNumber(std::vector<Operation>& operations)
    {
        std::sort(operations.begin(), operations.end(),
            [](const Operation& a, const Operation& b) { return a.number < b.number; });
    }

    void append(std::vector<Operation>& all, std::vector<Operation>&& added)
    {
        all.insert(all.end(), std::make_move_iterator(added.begin()), std::make_move_iterator(added.end()));
    }

} // namespace

LoadRunResult runLoad(const Workload& workload, const LoadRunSettings& settings, HistoryWriter& writer)
{
    const TimePoint start = Clock::now() + startDelay;
    RunContext run { settings.daemons, settings.runId, start, workload.clientLatency, writer };
    std::vector<std::unique_ptr<LoadWorker>> workers;
    for (std::size_t index = 0; index < workload.threads; ++index)
        workers.push_back(std::make_unique<LoadWorker>(workload, run, index));
    Supervision supervision(workload, settings);

    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (auto& worker : workers)
        threads.emplace_back([&worker] { worker->run(); });
    supervision.run(start);
    for (std::thread& thread : threads)
        thread.join();

    LoadRunResult result;
    for (auto& worker : workers) {
        append(result.history.operations, std::move(worker->operations()));
        for (const auto& [place, count] : worker->unsentArrivals())
            result.unsentArrivals[place] += count;
    }
    std::this_thread::sleep_for(workload.settleTime);
    FinalReader reader(workload, run);
    append(result.history.operations, reader.readBack(result.history.operations));
    sortByNumber(result.history.operations);
    result.history.logs = supervision.getLogs();
    result.history.faults = supervision.faults();
    result.usage = std::move(supervision.usage());
    for (const LogDump& log : result.history.logs)
        writer.write(log);
    for (const FaultRecord& fault : result.history.faults)
        writer.write(fault);
    return result;
}

} // namespace almondlever::load

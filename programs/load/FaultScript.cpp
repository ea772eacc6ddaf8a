#include "FaultScript.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sys/types.h>

namespace almondlever::load {

namespace {

    int signalNumber(const std::string& name)
    {
        if (name == "SIGKILL")
            return SIGKILL;
        if (name == "SIGSTOP")
            return SIGSTOP;
        if (name == "SIGCONT")
            return SIGCONT;
        return SIGTERM;
    }

} // namespace

FaultScript::FaultScript(const Workload& workload, ProcessNames processes, StandinClient& standin, TimerService& timers)
    : workload_(workload)
    , processes_(std::move(processes))
    , standin_(standin)
    , timers_(timers)
{
}

void FaultScript::begin(TimePoint start)
{
    start_ = start;
    for (const Fault& fault : workload_.faults)
        timers_.callAfter(start + fault.at - timers_.now(), [this, &fault](TimePoint now) { carryOut(fault, now); });
}

void FaultScript::continueStopped()
{
    for (const auto& [name, processId] : stopped_)
        kill(processId, SIGCONT);
    stopped_.clear();
}

void FaultScript::carryOut(const Fault& fault, TimePoint now)
{
    const Duration at = now - start_;
    if (fault.actionJson.empty())
        return record(fault, fault.signal + " to " + fault.process, sendSignal(fault), at);
    standin_.act(fault.actionJson, workload_,
        [this, &fault, at](const std::string& error) { record(fault, fault.actionJson, error, at); });
}

std::string FaultScript::sendSignal(const Fault& fault)
{
    int processId = 0;
    if (std::string error = findProcess(fault.process, processId); !error.empty())
        return error;
    if (kill(processId, signalNumber(fault.signal)) != 0)
        return std::string("kill: ") + std::strerror(errno);
    if (fault.signal == "SIGSTOP")
        stopped_[fault.process] = processId;
    else
        stopped_.erase(fault.process);
    return "";
}

std::string FaultScript::findProcess(const std::string& name, int& processId) const
{
    const auto found = processes_.find(name);
    if (found == processes_.end())
        return "process '" + name + "' is not named with --process";
    std::string text = found->second;
    if (!text.empty() && text.front() == '@') {
        std::ifstream file(text.substr(1));
        text.clear();
        file >> text;
    }
    char* end = nullptr;
    const long number = std::strtol(text.c_str(), &end, 10);
    // Zero and negative numbers address whole groups of processes.
    if (text.empty() || *end != '\0' || number <= 1)
        return "'" + found->second + "' gives no process id";
    processId = static_cast<int>(number);
    return "";
}

void FaultScript::record(const Fault& fault, const std::string& description, const std::string& error, Duration at)
{
    records_.push_back({ description, std::chrono::duration_cast<Microseconds>(at), fault.database, error });
}

} // namespace almondlever::load

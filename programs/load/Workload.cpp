#include "Workload.h"

#include <algorithm>
#include <cassert>

namespace almondlever::load {

Milliseconds Workload::duration() const
{
    Milliseconds sum { 0 };
    for (const Phase& phase : phases)
        sum += phase.duration;
    return sum;
}

const Phase& Workload::phaseAt(Duration sinceStart) const
{
    assert(!phases.empty());
    Duration end { 0 };
    for (const Phase& phase : phases) {
        end += phase.duration;
        if (sinceStart < end)
            return phase;
    }
    return phases.back();
}

double Workload::rateIn(const Phase& phase, const CallerLoad& caller) const
{
    if (std::find(phase.floods.begin(), phase.floods.end(), caller.name) != phase.floods.end())
        return floodFactor * capacityPerSecond;
    const auto found = phase.rates.find(caller.name);
    return found == phase.rates.end() ? caller.rate : found->second;
}

const CallerLoad* Workload::findCaller(const std::string& name) const
{
    const auto found = std::find_if(
        callers.begin(), callers.end(), [&name](const CallerLoad& caller) { return caller.name == name; });
    return found == callers.end() ? nullptr : &*found;
}

} // namespace almondlever::load

#include "UsageRecorder.h"

#include <algorithm>

namespace almondlever::load {

void UsageRecorder::add(const std::string& phase, const EndpointFiguresByName& figures)
{
    if (figures.empty())
        return;
    std::size_t slots = 0;
    std::size_t busy = 0;
    for (const auto& [name, current] : figures) {
        EndpointUsage& usage = endpoints_[name];
        const EndpointFigures previous = usage.last;
        const bool isRestarted = current.statementsRun < previous.statementsRun;
        usage.statementsRun += current.statementsRun - (isRestarted ? 0 : previous.statementsRun);
        usage.last = current;
        // A restarted server counts from zero; the peaks of the run remain.
        usage.last.connectionsPeak = std::max(current.connectionsPeak, previous.connectionsPeak);
        usage.last.slotsPeak = std::max(current.slotsPeak, previous.slotsPeak);
        usage.last.connectionsRefused = std::max(current.connectionsRefused, previous.connectionsRefused);
        if (current.isRunning) {
            slots += current.slots;
            busy += std::min(current.slotsInUse, current.slots);
        }
    }
    if (slots == 0)
        return;
    PhaseUsage& usage = phases_[phase];
    ++usage.samples;
    usage.busyShareSum += static_cast<double>(busy) / static_cast<double>(slots);
}

} // namespace almondlever::load

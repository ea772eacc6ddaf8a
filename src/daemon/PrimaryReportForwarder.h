#pragma once

#include "almondlever/serving/PrimaryListener.h"

#include "almondlever/common/TimerService.h"

#include <functional>
#include <unordered_map>

namespace almondlever {

class ControlLoop;

/** Forwards reports on primaries to the control thread, rate-limited for each endpoint and kind of report. */
class PrimaryReportForwarder final : public PrimaryListener {
public:
    using PostToControl = std::function<void(std::function<void(ControlLoop&, TimePoint now)>)>;

    PrimaryReportForwarder(TimerService&, PostToControl);

    void primaryAnswered(const DatabaseId&, const EndpointId&, Term) override;
    void primaryFailed(const DatabaseId&, const EndpointId&) override;
    void writesPaused(const DatabaseId&, const EndpointId&, LogPosition logEnd) override;

private:
    /** True, and updates the time of the last report, if the last report on the endpoint is old enough. */
    static bool isDue(std::unordered_map<EndpointId, TimePoint>& last, const EndpointId&, TimePoint now);

    TimerService& timers_;
    PostToControl post_;
    std::unordered_map<EndpointId, TimePoint> answeredAt_;
    std::unordered_map<EndpointId, TimePoint> failedAt_;
    std::unordered_map<EndpointId, TimePoint> pausedAt_;
};

} // namespace almondlever

#pragma once

#include "almondlever/serving/PrimaryListener.h"

#include "almondlever/common/TimerService.h"

#include <functional>
#include <unordered_map>

namespace almondlever {

class ControlLoop;

/** Takes evidence to the control thread, at most once in a short time for each endpoint and kind. */
class EvidenceForwarder final : public PrimaryListener {
public:
    using PostToControl = std::function<void(std::function<void(ControlLoop&, TimePoint now)>)>;

    EvidenceForwarder(TimerService&, PostToControl);

    void primaryAnswered(const DatabaseId&, const EndpointId&, Term) override;
    void primaryFailed(const DatabaseId&, const EndpointId&) override;
    void writesPaused(const DatabaseId&, const EndpointId&, LogPosition logEnd) override;

private:
    /** True when the last evidence of this kind is old enough for another. */
    static bool isDue(std::unordered_map<EndpointId, TimePoint>& last, const EndpointId&, TimePoint now);

    TimerService& timers_;
    PostToControl post_;
    std::unordered_map<EndpointId, TimePoint> answeredAt_;
    std::unordered_map<EndpointId, TimePoint> failedAt_;
    std::unordered_map<EndpointId, TimePoint> pausedAt_;
};

} // namespace almondlever

#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondlever {

/**
 * Counters, gauges and latency histograms (Boost.Histogram) for use on one thread, exported as Prometheus text.
 *
 * Metrics are identified as in Prometheus: by a family name and a label set such as `rank="urgent"`.
 */
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void count(const std::string& family, const std::string& labels, std::uint64_t amount = 1);
    void setGauge(const std::string& family, const std::string& labels, double value);
    /** Records a latency in a histogram in seconds. */
    void observe(const std::string& family, const std::string& labels, Duration value);

    std::uint64_t counter(const std::string& family, const std::string& labels) const;
    /** Upper bound of the histogram bucket that contains the quantile `share` (0 to 1); zero without observations. */
    Duration quantile(const std::string& family, const std::string& labels, double share) const;
    /** All metrics in Prometheus text format 0.0.4. */
    std::string toPrometheusText() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondlever

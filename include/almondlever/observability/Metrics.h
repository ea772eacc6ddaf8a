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
 * Counters, gauges and latency histograms (Boost.Histogram) of one thread, written as Prometheus text.
 *
 * Names are those of Prometheus: a family and a label set such as `rank="urgent"`.
 */
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void count(const std::string& family, const std::string& labels, std::uint64_t amount = 1);
    void setGauge(const std::string& family, const std::string& labels, double value);
    /** Adds an observation to a latency histogram in seconds. */
    void observe(const std::string& family, const std::string& labels, Duration value);

    std::uint64_t counter(const std::string& family, const std::string& labels) const;
    /** The value below which the given share of the observations lies; zero without observations. */
    Duration quantile(const std::string& family, const std::string& labels, double share) const;
    /** All metrics in Prometheus text format 0.0.4. */
    std::string toPrometheusText() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondlever

#include "almondlever/observability/Metrics.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <sstream>

namespace almondlever {

namespace {

    namespace bh = boost::histogram;

    constexpr unsigned bucketCount = 60;
    constexpr double lowestSeconds = 1e-5;
    constexpr double highestSeconds = 1e2;

    using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

    struct LatencyHistogram {
        decltype(bh::make_histogram(LogAxis(bucketCount, lowestSeconds, highestSeconds))) histogram
            = bh::make_histogram(LogAxis(bucketCount, lowestSeconds, highestSeconds));
        double sumSeconds = 0;
        std::uint64_t count = 0;
    };

    using Key = std::pair<std::string, std::string>;

    std::string withLabels(const std::string& family, const std::string& labels)
    {
        return labels.empty() ? family : family + '{' + labels + '}';
    }

    void writeHistogram(std::ostream& out, const Key& key, const LatencyHistogram& latency)
    {
        const std::string separator = key.second.empty() ? "" : ",";
        double cumulative = latency.histogram.at(-1);
        for (int bin = 0; bin < static_cast<int>(bucketCount); ++bin) {
            cumulative += latency.histogram.at(bin);
            out << key.first << "_bucket{" << key.second << separator << "le=\""
                << latency.histogram.axis().bin(bin).upper() << "\"} " << static_cast<std::uint64_t>(cumulative)
                << '\n';
        }
        out << key.first << "_bucket{" << key.second << separator << "le=\"+Inf\"} " << latency.count << '\n';
        out << withLabels(key.first + "_sum", key.second) << ' ' << latency.sumSeconds << '\n';
        out << withLabels(key.first + "_count", key.second) << ' ' << latency.count << '\n';
    }

    /** Writes the TYPE line before the first metric of a family. */
    void writeType(std::ostream& out, std::string& lastFamily, const std::string& family, const char* type)
    {
        if (family == lastFamily)
            return;
        out << "# TYPE " << family << ' ' << type << '\n';
        lastFamily = family;
    }

} // namespace

struct Metrics::State {
    std::map<Key, std::uint64_t> counters;
    std::map<Key, double> gauges;
    std::map<Key, LatencyHistogram> latencies;
};

Metrics::Metrics()
    : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string& family, const std::string& labels, std::uint64_t amount)
{
    state_->counters[{ family, labels }] += amount;
}

void Metrics::setGauge(const std::string& family, const std::string& labels, double value)
{
    state_->gauges[{ family, labels }] = value;
}

void Metrics::observe(const std::string& family, const std::string& labels, Duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    LatencyHistogram& latency = state_->latencies[{ family, labels }];
    latency.histogram(seconds);
    latency.sumSeconds += seconds;
    ++latency.count;
}

std::uint64_t Metrics::counter(const std::string& family, const std::string& labels) const
{
    const auto found = state_->counters.find({ family, labels });
    return found == state_->counters.end() ? 0 : found->second;
}

Duration Metrics::quantile(const std::string& family, const std::string& labels, double share) const
{
    const auto found = state_->latencies.find({ family, labels });
    if (found == state_->latencies.end() || found->second.count == 0)
        return Duration::zero();
    const LatencyHistogram& latency = found->second;
    const double wanted = std::ceil(share * static_cast<double>(latency.count));
    double cumulative = latency.histogram.at(-1);
    int bin = 0;
    while (cumulative < wanted && bin < static_cast<int>(bucketCount))
        cumulative += latency.histogram.at(bin++);
    const double upper = bin == 0 ? lowestSeconds : latency.histogram.axis().bin(bin - 1).upper();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upper));
}

std::string Metrics::toPrometheusText() const
{
    std::ostringstream out;
    std::string lastFamily;
    for (const auto& [key, value] : state_->counters) {
        writeType(out, lastFamily, key.first, "counter");
        out << withLabels(key.first, key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, value] : state_->gauges) {
        writeType(out, lastFamily, key.first, "gauge");
        out << withLabels(key.first, key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, latency] : state_->latencies) {
        writeType(out, lastFamily, key.first, "histogram");
        writeHistogram(out, key, latency);
    }
    return out.str();
}

} // namespace almondlever

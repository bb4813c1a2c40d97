#include "hemlockvane/detail/metrics/Metrics.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace hemlockvane::detail {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned latencyBins = 28;
constexpr double shortestLatencySeconds = 0.0001;
constexpr double longestLatencySeconds = 100.0;

using LatencyAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto makeLatencyHistogram()
{
    return histogram::make_histogram(LatencyAxis(latencyBins, shortestLatencySeconds, longestLatencySeconds));
}

using LatencyHistogram = decltype(makeLatencyHistogram());

// A histogram with the sum and count that the Prometheus format requires.
struct Latency {
    LatencyHistogram m_histogram = makeLatencyHistogram();
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

auto renderLatency(std::ostream& out, const std::string& name, const Latency& latency) -> void
{
    const auto& axis = latency.m_histogram.axis(0);
    auto cumulative = static_cast<std::uint64_t>(latency.m_histogram.at(-1));
    out << "# TYPE hemlockvane_" << name << " histogram\n";
    for (int bin = 0; bin < axis.size(); ++bin) {
        cumulative += static_cast<std::uint64_t>(latency.m_histogram.at(bin));
        out << "hemlockvane_" << name << "_bucket{le=\"" << axis.bin(bin).upper() << "\"} " << cumulative << "\n";
    }
    out << "hemlockvane_" << name << "_bucket{le=\"+Inf\"} " << latency.m_count << "\n";
    out << "hemlockvane_" << name << "_sum " << latency.m_sum << "\n";
    out << "hemlockvane_" << name << "_count " << latency.m_count << "\n";
}

} // namespace

struct Metrics::Impl {
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
    std::map<std::string, Latency, std::less<>> m_latencies;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

auto Metrics::count(std::string_view name, std::uint64_t amount) -> void
{
    const std::lock_guard lock(m_impl->m_mutex);
    m_impl->m_counters[std::string(name)] += amount;
}

auto Metrics::gauge(std::string_view name, double value) -> void
{
    const std::lock_guard lock(m_impl->m_mutex);
    m_impl->m_gauges[std::string(name)] = value;
}

auto Metrics::observe(std::string_view name, std::chrono::microseconds latency) -> void
{
    const auto seconds = std::chrono::duration<double>(latency).count();
    const std::lock_guard lock(m_impl->m_mutex);
    auto& entry = m_impl->m_latencies[std::string(name)];
    entry.m_histogram(seconds);
    entry.m_sum += seconds;
    ++entry.m_count;
}

auto Metrics::render() const -> std::string
{
    std::ostringstream out;
    const std::lock_guard lock(m_impl->m_mutex);
    for (const auto& [name, value] : m_impl->m_counters)
        out << "hemlockvane_" << name << " " << value << "\n";
    for (const auto& [name, value] : m_impl->m_gauges)
        out << "hemlockvane_" << name << " " << value << "\n";
    for (const auto& [name, latency] : m_impl->m_latencies)
        renderLatency(out, name, latency);
    return out.str();
}

} // namespace hemlockvane::detail

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Counters, gauges and latency histograms of one process. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    auto operator=(const Metrics&) -> Metrics& = delete;

    /// @brief Adds to a counter.
    /// @param name metric name, labels included, for example `requests_total{answer="none"}`
    auto count(std::string_view name, std::uint64_t amount = 1) -> void;

    /// @brief Sets a gauge.
    auto gauge(std::string_view name, double value) -> void;

    /// @brief Records one latency.
    /// @param name metric name without labels; the exported values are in seconds
    auto observe(std::string_view name, std::chrono::microseconds latency) -> void;

    /// @brief All metrics in the Prometheus text format.
    [[nodiscard]] auto render() const -> std::string;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail

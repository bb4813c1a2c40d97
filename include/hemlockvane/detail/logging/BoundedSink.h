#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace hemlockvane::detail {

/// @brief Gathers log lines in memory and writes them only while the descriptor takes them at once.
///
/// Lines beyond the bound are dropped and counted; the count is written once there is room again.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    /// @param descriptor written to, for example that of the standard output
    /// @param mostBytes held at the most
    BoundedSink(int descriptor, std::size_t mostBytes);

    /// @brief Lines dropped since the start.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

protected:
    auto sink_it_(const spdlog::details::log_msg& message) -> void override;
    auto flush_() -> void override;

private:
    int m_descriptor;
    std::size_t m_capacityBytes;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
};

} // namespace hemlockvane::detail

#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace hemlockvane::detail {

/// @brief Log sink that buffers lines in memory and never blocks on its descriptor.
///
/// A flush writes as much as the descriptor accepts without blocking. Lines that do not fit into the buffer are dropped
/// and counted; the count is written after the buffer has been emptied.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    /// @param descriptor file descriptor to write to, for example that of the standard output
    /// @param capacityBytes size of the buffer
    BoundedSink(int descriptor, std::size_t capacityBytes);

    /// @brief Lines dropped since the start.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

protected:
    auto sink_it_(const spdlog::details::log_msg& message) -> void override;
    auto flush_() -> void override;

private:
    int m_descriptor;
    std::size_t m_capacityBytes;
    std::string m_pending; ///< Buffered lines.
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0; ///< Dropped lines that were reported in the log.
};

} // namespace hemlockvane::detail

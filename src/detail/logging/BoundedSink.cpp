#include "hemlockvane/detail/logging/BoundedSink.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t maximumWriteBytes = 4096; // A pipe that polls as writable accepts this much without blocking.

auto canWrite(int descriptor) -> bool
{
    pollfd entry { descriptor, POLLOUT, 0 };
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

BoundedSink::BoundedSink(int descriptor, std::size_t capacityBytes)
    : m_descriptor(descriptor)
    , m_capacityBytes(capacityBytes)
{
}

auto BoundedSink::dropped() const -> std::uint64_t { return m_dropped; }

auto BoundedSink::sink_it_(const spdlog::details::log_msg& message) -> void
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_pending.size() + line.size() > m_capacityBytes) {
        ++m_dropped;
        return;
    }
    m_pending.append(line.data(), line.size());
}

auto BoundedSink::flush_() -> void
{
    std::size_t written = 0;
    while (written < m_pending.size() && canWrite(m_descriptor)) {
        const auto size = std::min(maximumWriteBytes, m_pending.size() - written);
        const auto result = write(m_descriptor, m_pending.data() + written, size);
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    m_pending.erase(0, written);
    if (m_dropped == m_droppedReported || !m_pending.empty())
        return;
    m_pending = "event=log_lines_dropped count=" + std::to_string(m_dropped - m_droppedReported) + "\n";
    m_droppedReported = m_dropped;
}

} // namespace hemlockvane::detail

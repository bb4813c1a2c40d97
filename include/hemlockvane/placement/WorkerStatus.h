#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace hemlockvane {

/// @brief State of a worker that the placement holder keeps in addition to the log.
struct WorkerStatus {
    std::string m_incarnation;
    /// When the last report arrived. The worker's lease counts from the sending of a report, which is never later.
    std::optional<Instant> m_lastReportAt;
    std::int64_t m_workerClockMs = 0; ///< The worker's monotonic clock in that report, in ms.
    std::uint32_t m_consecutiveFailures = 0; ///< Failed attempts since one last finished here.
    std::set<std::string> m_attributedFailures; ///< Jobs that failed here and then finished on another worker.
    std::uint32_t m_consecutiveRefusals = 0;
    Instant m_refusalBackoffUntil {}; ///< No new task until then, because it refused one.
    Instant m_quarantinedUntil {};
    std::uint32_t m_quarantineCount = 0;
};

} // namespace hemlockvane

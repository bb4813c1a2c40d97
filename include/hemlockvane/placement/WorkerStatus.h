#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace hemlockvane {

/// @brief What the placement holder knows of a worker beyond the log.
struct WorkerStatus {
    std::string m_incarnation;
    std::optional<Instant> m_lastReportAt; ///< Arrival of the last report, the latest that its lease counts from.
    std::int64_t m_workerClockMs = 0; ///< Worker's clock of that report, in ms.
    std::uint32_t m_consecutiveFailures = 0; ///< Since an attempt finished here.
    std::set<std::string> m_attributedFailures; ///< Jobs that failed here and finished elsewhere.
    std::uint32_t m_consecutiveRefusals = 0; ///< In a row.
    Instant m_refusalBackoffUntil {}; ///< It refused a task and is given nothing until then.
    Instant m_quarantinedUntil {};
    std::uint32_t m_quarantineCount = 0;
};

} // namespace hemlockvane

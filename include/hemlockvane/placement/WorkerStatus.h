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
    std::optional<Instant> m_heardAt; ///< Arrival of the last report, the latest that its lease counts from.
    std::int64_t m_clock = 0; ///< Worker's clock of that report, in ms.
    std::uint32_t m_failuresInRow = 0; ///< Since an attempt finished here.
    std::set<std::string> m_blamedFor; ///< Jobs that failed here and finished elsewhere.
    std::uint32_t m_refusals = 0; ///< In a row.
    Instant m_refusesUntil {}; ///< It refused a task and is given nothing until then.
    Instant m_setAsideUntil {};
    std::uint32_t m_timesSetAside = 0;
};

} // namespace hemlockvane

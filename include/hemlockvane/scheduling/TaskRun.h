#pragma once

#include "hemlockvane/scheduling/RunPhase.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockvane::scheduling {

/// @brief Position of an executor in the scheduler's list; stable while the process lives.
using ExecutorIndex = std::uint32_t;

/// @brief One run of a task on one executor.
struct TaskRun {
    std::uint32_t m_run = 0;
    ExecutorIndex m_executor = 0;
    RunPhase m_phase = RunPhase::Starting;
    Instant m_orderedAt; ///< When the start was decided.
    std::optional<Instant> m_outcomeUnknownSince; ///< Since when it is not known whether its start was carried out.
    std::int32_t m_percent = 0; ///< As last reported; 100: a lasting task is at work.
    std::int64_t m_measurement = 0; ///< Serving task: tail in ms; other task: processor in use, thousandths of a core.
    std::int32_t m_pace = 100; ///< Share of its work that it may do.
    Instant m_nextActionAt; ///< When a stop is sent again.
    std::optional<Instant> m_stopAnsweredAt; ///< When its executor answered a stop of it.
};

} // namespace hemlockvane::scheduling

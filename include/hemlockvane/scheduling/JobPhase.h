#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief State of a job as shown to callers. The numbers are stored and must not change.
enum class JobPhase : std::uint8_t {
    Queued = 0, ///< No task is known to have started; starts may be planned or on their way.
    Running = 1, ///< A start was answered, or an executor has listed a run or its end.
    Completed = 2,
    Failed = 3,
    Cancelled = 4,
};

/// @brief Whether a job in this phase has ended, so that none of its tasks is started again.
[[nodiscard]] constexpr auto isFinal(JobPhase phase) -> bool { return phase >= JobPhase::Completed; }

} // namespace hemlockvane::scheduling

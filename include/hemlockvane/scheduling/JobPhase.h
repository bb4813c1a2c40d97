#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief State of a job as shown to callers. The numbers are stored and must not change.
enum class JobPhase : std::uint8_t {
    Queued = 0,
    Running = 1,
    Completed = 2,
    Failed = 3,
    Cancelled = 4,
};

/// @brief Whether a job in this phase has ended, so that none of its tasks is started again.
[[nodiscard]] constexpr auto isFinal(JobPhase phase) -> bool { return phase >= JobPhase::Completed; }

} // namespace hemlockvane::scheduling

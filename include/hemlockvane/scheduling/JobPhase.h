#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief State of a job as shown to callers. Numbers are stable: they are stored.
enum class JobPhase : std::uint8_t {
    Queued = 0,
    Running = 1,
    Completed = 2,
    Failed = 3,
    Cancelled = 4,
};

/// @brief True when nothing of the job will be started again.
[[nodiscard]] constexpr auto isFinal(JobPhase phase) -> bool { return phase >= JobPhase::Completed; }

} // namespace hemlockvane::scheduling

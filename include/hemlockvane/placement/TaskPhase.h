#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Phase of a task as its worker reports it.
enum class TaskPhase : std::uint8_t {
    Running,
    Throttled, ///< Running with reduced CPU time.
    Checkpointed, ///< Ended; progress saved.
    Stopped, ///< Ended; progress lost.
    Finished,
    Failed,
    Refused ///< Never started.
};

/// @brief True when a task in this phase no longer runs.
constexpr auto hasEnded(TaskPhase phase) -> bool
{
    return phase != TaskPhase::Running && phase != TaskPhase::Throttled;
}

} // namespace hemlockvane

#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief What a worker reports of one task.
enum class TaskPhase : std::uint8_t {
    Running,
    Throttled, ///< Running with less processor time.
    Checkpointed, ///< Ended; its progress is saved.
    Stopped, ///< Ended; its progress is lost.
    Finished,
    Failed,
    Refused ///< It was certainly not started.
};

/// @brief True when the task no longer runs.
constexpr auto hasEnded(TaskPhase phase) -> bool
{
    return phase != TaskPhase::Running && phase != TaskPhase::Throttled;
}

} // namespace hemlockvane

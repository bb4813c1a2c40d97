#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief What the shell is to do. The first two are records to append, the others messages to a worker.
enum class PlacementActionKind : std::uint8_t {
    PlaceJob,
    EndAttempt,
    RenewLease,
    StartTask,
    ThrottleTask,
    UnthrottleTask, ///< Ends a throttle.
    CheckpointTask,
    StopTask,
    AcknowledgeEnd
};

} // namespace hemlockvane

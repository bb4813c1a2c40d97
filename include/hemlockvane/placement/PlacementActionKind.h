#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Kind of a placement action. The first two append a record to the log, the others send a message to a worker.
enum class PlacementActionKind : std::uint8_t {
    PlaceJob,
    EndAttempt,
    RenewLease,
    StartTask,
    ThrottleTask,
    UnthrottleTask,
    CheckpointTask,
    StopTask,
    AcknowledgeEnd
};

} // namespace hemlockvane

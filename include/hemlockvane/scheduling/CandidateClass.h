#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief Classes of steps with waiting tasks, in the order in which they are started within a priority.
enum class CandidateClass : std::uint8_t {
    LongRunning,
    InTime, ///< The job can still meet its objective.
    LateBegun, ///< Tasks of the job have been started.
    Late,
    Lapsed, ///< Too late to be of use to the caller.
};

} // namespace hemlockvane::scheduling

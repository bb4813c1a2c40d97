#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief How an attempt to run a job ended. The values equal those of wire::JobOutcome.
enum class AttemptOutcome : std::uint8_t {
    None = 0,
    Finished = 1,
    Failed = 2,
    Lost = 3,
    Stopped = 4,
    NeverRunnable = 5,
    Refused = 6,
    Checkpointed = 7
};

} // namespace hemlockvane

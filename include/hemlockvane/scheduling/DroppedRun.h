#pragma once

#include "hemlockvane/scheduling/DropReason.h"
#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief A run that was forgotten without its end having been read.
struct DroppedRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    ExecutorIndex m_executor = 0;
    DropReason m_reason = DropReason::NewLife;
    Duration m_age {}; ///< From the decision on its start to the time when it was forgotten.
    std::int64_t m_startedAtMs = 0; ///< Start of the executor's life, as known when the run was forgotten.
};

} // namespace hemlockvane::scheduling

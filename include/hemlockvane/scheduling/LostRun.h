#pragma once

#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief A run that was lost with its executor, without an outcome.
struct LostRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    ExecutorIndex m_executor = 0;
    Duration m_age {}; ///< From the decision on its start to the time when it was given up.
    std::uint32_t m_crashes = 0; ///< Crashes that are counted for its task.
    std::uint32_t m_possibleCrashes = 0; ///< Possible crashes that are counted for its task.
};

} // namespace hemlockvane::scheduling

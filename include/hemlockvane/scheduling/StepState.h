#pragma once

#include "hemlockvane/scheduling/StepAdvice.h"
#include "hemlockvane/scheduling/TaskTable.h"

#include <cstdint>
#include <map>

namespace hemlockvane::scheduling {

/// @brief One step's progress within one occurrence.
struct StepState {
    TaskTable m_tasks;
    std::uint32_t m_doneCount = 0;
    std::uint32_t m_runningTasks = 0; ///< Number of tasks that have runs and are not done.
    std::uint32_t m_gangFailures = 0;
    std::map<ExecutorIndex, std::uint32_t> m_runsByExecutor; ///< Number of runs of the step on each executor.
    StepAdvice m_advice; ///< If the queue needs advice.
};

} // namespace hemlockvane::scheduling

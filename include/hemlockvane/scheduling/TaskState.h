#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One task's progress.
struct TaskState {
    bool m_isDone = false;
    std::uint32_t m_failures = 0; ///< Runs that ended failed.
    std::uint32_t m_highestRun = 0;
    std::uint64_t m_countedRunBits = 0; ///< Bit `run % 64` is set once that run's end was counted.
    std::string m_checkpoint; ///< Newest known; empty: none.
    std::vector<TaskRun> m_runs; ///< Runs that may still use an executor.
    std::vector<ExecutorIndex> m_failedOn; ///< Executors on which it failed.
};

} // namespace hemlockvane::scheduling

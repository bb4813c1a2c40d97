#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One task's progress.
struct TaskState {
    bool m_isDone = false;
    std::uint32_t m_failures = 0; ///< Number of failed runs.
    std::uint32_t m_crashes = 0; ///< Number of executors that crashed soon after they had started the task.
    std::uint32_t m_possibleCrashes = 0; ///< Number of those that may have crashed, or may not have started it.
    /// Those of the possible crashes whose executor has certainly ended; only its receipt of the start is not certain.
    /// Not stored: after a takeover they count as possible only.
    std::uint32_t m_unansweredCrashes = 0;
    /// Those of the possible crashes of which a silent executor's answer or end will tell. Not stored.
    std::uint32_t m_pendingCrashes = 0;
    bool m_needsTrial = false; ///< It may be started on trial only; see `blameCrash`.
    std::uint32_t m_highestRun = 0;
    std::uint64_t m_countedRunBits = 0; ///< Bit `run % 64` is set once the outcome of that run was counted.
    std::string m_checkpoint; ///< Newest known checkpoint; empty: none.
    std::vector<TaskRun> m_runs; ///< Runs that may still be active on an executor.
    std::vector<ExecutorIndex> m_failedOn; ///< Executors on which the task failed.
};

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/scheduling/TaskRun.h"

#include <cstdint>
#include <optional>

namespace hemlockvane::scheduling {

/// @brief A run that an executor reported, at work or ended, though the scheduler did not know it or had forgotten it.
struct FoundRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    ExecutorIndex m_executor = 0;
    std::int64_t m_startedAtMs = 0; ///< Start of the executor's life that reported it.
    bool m_hasEnded = false;
    bool m_isStopped = false; ///< It is at work and is stopped, since its task needs no run.
    std::optional<std::uint32_t> m_otherRun; ///< Another run of its task that was known then.
    ExecutorIndex m_otherExecutor = 0; ///< Of the other run.
};

} // namespace hemlockvane::scheduling

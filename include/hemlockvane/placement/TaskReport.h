#pragma once

#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/placement/TaskPhase.h"

#include <string>

namespace hemlockvane {

/// @brief One task of a worker's report. Usage lags behind the task.
struct TaskReport {
    std::string m_job;
    std::uint32_t m_attempt = 0;
    Offset m_leaseEpoch = 0;
    TaskPhase m_phase = TaskPhase::Running;
    std::uint32_t m_milliCores = 0; ///< Used; 0: not measured yet.
    std::uint32_t m_memoryMb = 0; ///< Used; 0: not measured yet.
    std::string m_reason; ///< Of an end.
};

} // namespace hemlockvane

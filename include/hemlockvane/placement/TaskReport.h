#pragma once

#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/placement/TaskPhase.h"

#include <string>

namespace hemlockvane {

/// @brief One task in a worker's report. Usage values lag behind the actual usage.
struct TaskReport {
    std::string m_job;
    std::uint32_t m_attempt = 0;
    Offset m_leaseEpoch = 0;
    TaskPhase m_phase = TaskPhase::Running;
    std::uint32_t m_milliCores = 0; ///< Millicores in use; 0 if not measured yet.
    std::uint32_t m_memoryMb = 0; ///< Memory in use, in MB; 0 if not measured yet.
    std::string m_reason; ///< Why the task ended.
};

} // namespace hemlockvane

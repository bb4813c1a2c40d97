#pragma once

#include "hemlockvane/placement/PreemptionLevel.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief State of a running attempt that the placement holder keeps in addition to the log.
struct TaskStatus {
    bool m_startSent = false; ///< True once this holder sent StartTask.
    std::string m_incarnation; ///< The worker's incarnation when the task was started or reported; empty before that.
    std::int64_t m_peakMilliCores = 0;
    std::int64_t m_peakMemoryMb = 0;
    std::int64_t m_memoryMb = 0; ///< Usage in the last report.
    PreemptionLevel m_preemption = PreemptionLevel::None;
    Instant m_preemptionStepAt {};
};

} // namespace hemlockvane

#pragma once

#include "hemlockvane/placement/PreemptionLevel.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief What the placement holder knows of a running attempt beyond the log.
struct TaskStatus {
    bool m_startSent = false; ///< By this holder.
    std::string m_incarnation; ///< Of the worker when the task was started or first seen; empty: neither yet.
    std::int64_t m_peakMilliCores = 0;
    std::int64_t m_peakMemoryMb = 0;
    std::int64_t m_memoryMb = 0; ///< Of the last report.
    PreemptionLevel m_preemption = PreemptionLevel::None;
    Instant m_preemptionStepAt {};
};

} // namespace hemlockvane

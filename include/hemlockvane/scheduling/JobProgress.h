#pragma once

#include "hemlockvane/scheduling/JobPhase.h"
#include "hemlockvane/scheduling/RunProgress.h"
#include "hemlockvane/scheduling/TaskProgress.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief What must outlive the owner of a job's work.
struct JobProgress {
    JobPhase m_phase = JobPhase::Queued;
    WallMillis m_endedAt = 0;
    std::uint32_t m_occurrencesDone = 0;
    std::vector<std::uint32_t> m_doneOccurrences;
    std::vector<TaskProgress> m_tasks; ///< Tasks with anything to tell.
    std::vector<RunProgress> m_runs; ///< Also of a job that has ended, while its runs are being stopped.
};

} // namespace hemlockvane::scheduling

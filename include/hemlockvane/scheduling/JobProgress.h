#pragma once

#include "hemlockvane/scheduling/JobPhase.h"
#include "hemlockvane/scheduling/RunProgress.h"
#include "hemlockvane/scheduling/TaskProgress.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief A job's progress as stored, so that the next owner can continue it.
struct JobProgress {
    JobPhase m_phase = JobPhase::Queued;
    WallMillis m_endedAt = 0;
    std::uint32_t m_occurrencesDone = 0;
    std::uint32_t m_doneBelow = 0; ///< All occurrences below this number are done.
    std::vector<std::uint32_t> m_doneOccurrences; ///< Done occurrences from that number on.
    std::vector<TaskProgress> m_tasks; ///< Tasks that have run or are done.
    std::vector<RunProgress> m_runs; ///< Active runs; a job that has ended still has some while they are being stopped.
};

} // namespace hemlockvane::scheduling

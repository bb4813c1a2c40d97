#pragma once

#include "hemlockvane/scheduling/EndedRun.h"
#include "hemlockvane/scheduling/ReportedRun.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief An executor's answer to a poll: its active runs and its ended runs.
struct ExecutorReport {
    Instant m_pollSentAt; ///< When the poll was sent.
    bool m_isForPresentLife = true; ///< The poll carried the fencing token of the executor's present life.
    std::int64_t m_clockMs = 0; ///< The executor's monotonic clock when it answered.
    std::int64_t m_startedAtMs = 0;
    bool m_isComplete = true; ///< Lists all active and ended runs: a run that is missing is not there.
    std::vector<ReportedRun> m_runs;
    std::vector<EndedRun> m_endedRuns;
};

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/ReportedEnd.h"
#include "hemlockvane/scheduling/ReportedRun.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief An executor's answer to a look: what runs and what ended there.
struct ExecutorReport {
    Instant m_askedAt; ///< When the look was sent.
    std::int64_t m_clockMs = 0; ///< The executor's own steady clock.
    std::int64_t m_bornMs = 0;
    std::vector<ReportedRun> m_runs;
    std::vector<ReportedEnd> m_ends;
};

} // namespace hemlockvane::scheduling

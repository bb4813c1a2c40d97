#pragma once

#include "hemlockvane/scheduling/JobPhase.h"
#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/scheduling/Occurrence.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One job and its progress.
struct Job {
    JobSpec m_spec;
    JobPhase m_phase = JobPhase::Queued;
    JobPhase m_durablePhase
        = JobPhase::Queued; ///< Newest phase that the store holds; final phases are shown from here.
    std::vector<std::int64_t> m_criticalPathMs; ///< For each step the longest chain of estimates from its start.
    std::map<std::uint32_t, Occurrence> m_occurrences; ///< Begun or due; done ones stay until the job ends.
    WallMillis m_endedAt = 0;
    bool m_isDirty = false; ///< Progress differs from what was handed to the journal.
    std::uint32_t m_occurrencesDone = 0;
};

} // namespace hemlockvane::scheduling

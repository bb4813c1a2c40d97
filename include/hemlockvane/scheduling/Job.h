#pragma once

#include "hemlockvane/scheduling/JobPhase.h"
#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/scheduling/Occurrence.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One job and its progress.
struct Job {
    JobSpec m_spec;
    JobPhase m_phase = JobPhase::Queued;
    /// Newest phase in the store; a job is shown as completed or failed only once this is.
    JobPhase m_durablePhase = JobPhase::Queued;
    /// For each step: sum of the estimates along the longest path from its start to the end of the job.
    std::vector<std::int64_t> m_criticalPathMs;
    std::vector<std::uint32_t> m_criticalPathSteps; ///< Number of steps on each of these paths.
    std::map<std::uint32_t, Occurrence> m_occurrences; ///< Open ones, by number, and ended ones that still have runs.
    /// All occurrences below this number are open or done. Higher ones may be open too: a takeover restores those that
    /// were started.
    std::uint32_t m_nextOccurrence = 0;
    bool m_hasDelayedOccurrences = false; ///< Occurrences are due that are opened once enough others have begun.
    std::uint32_t m_doneBelow = 0; ///< All occurrences below this number are done.
    std::set<std::uint32_t> m_doneOccurrences; ///< Done occurrences from that number on.
    WallMillis m_endedAt = 0;
    std::size_t m_memory = 0; ///< What is counted for it in `Scheduler::m_jobMemory`, in bytes.
    bool m_isDirty = false; ///< Progress has changed since it was last handed to the journal.
    std::uint32_t m_occurrencesDone = 0;
    bool m_isChanged = false; ///< Listed in `StartIndex::m_changedJobs`.
    std::uint32_t m_candidates = 0; ///< Number of its steps in `StartIndex::m_candidates`.
    std::optional<Instant> m_watchedUntil; ///< Its time in `StartIndex::m_overdueRuns`.
};

} // namespace hemlockvane::scheduling

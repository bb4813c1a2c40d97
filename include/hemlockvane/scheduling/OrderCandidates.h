#pragma once

#include "hemlockvane/scheduling/CandidateClass.h"
#include "hemlockvane/time/Time.h"

namespace hemlockvane::scheduling {

struct Scheduler;
struct StartCandidate;
struct StepSpec;
struct TaskState;

/// @brief Class of a candidate at a time; its deadline must be known. A class of long-running tasks never changes.
[[nodiscard]] auto classOf(const Scheduler& scheduler, const StartCandidate& candidate, WallMillis wall)
    -> CandidateClass;

/// @brief Brings `StartIndex::m_candidates` up to date with the jobs that have changed, the rules and the time.
auto refreshCandidates(Scheduler& scheduler, Instant now, WallMillis wall) -> void;

/// @brief Whether a task waits for an executor: for its only run, or for a second one beside a run that is on an
/// unresponsive executor or overdue.
[[nodiscard]] auto needsRun(const Scheduler& scheduler, const StepSpec& spec, const TaskState& task, Instant now)
    -> bool;

} // namespace hemlockvane::scheduling

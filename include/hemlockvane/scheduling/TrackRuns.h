#pragma once

#include "hemlockvane/scheduling/EndedRun.h"
#include "hemlockvane/scheduling/Resources.h"
#include "hemlockvane/scheduling/StartAnswer.h"
#include "hemlockvane/scheduling/StepSpec.h"
#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief What one task takes of its executor; a filler takes no processor of its own.
auto requiredResources(const StepSpec& step) -> Resources;

/// @brief Puts a run of a task on an executor.
/// @param phase Starting for an order, Running or Stopping for a run that the executor reported
auto addRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor, RunPhase phase,
    Instant now) -> TaskRun&;

/// @brief Takes a run off its executor: it is certain that it is not there and will not come.
auto removeRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor) -> void;

/// @brief Run of a task on an executor; null when there is none.
auto findRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor) -> TaskRun*;

/// @brief Counts the end of a run.
auto applyRunEnd(Scheduler& scheduler, ExecutorIndex executor, const EndedRun& end, Instant now, WallMillis wall)
    -> void;

/// @brief Applies an executor's answer to a start.
/// @param wasRepeated an earlier order of the same start got no answer and may still be carried out
auto applyStartAnswer(Scheduler& scheduler, ExecutorIndex executor, const TaskKey& key, std::uint32_t run,
    StartAnswer answer, bool wasRepeated, Instant now) -> void;

/// @brief Applies that an executor answered a stop: from now on it refuses that run.
auto applyStopAnswer(Scheduler& scheduler, ExecutorIndex executor, const TaskKey& key, std::uint32_t run, Instant now)
    -> void;

} // namespace hemlockvane::scheduling

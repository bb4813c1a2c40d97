#pragma once

#include "hemlockvane/scheduling/DropReason.h"
#include "hemlockvane/scheduling/EndedRun.h"
#include "hemlockvane/scheduling/Resources.h"
#include "hemlockvane/scheduling/StartAnswer.h"
#include "hemlockvane/scheduling/StepSpec.h"
#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

namespace hemlockvane::scheduling {

struct Scheduler;
struct StepState;

/// @brief Resources that one task of a step reserves on its executor; a filler reserves no processor.
auto requiredResources(const StepSpec& step) -> Resources;

/// @brief Adds a run of a task to an executor.
/// @param phase Starting for a run that is to be started, Running or Stopping for one that is already on the executor
auto addRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor, RunPhase phase,
    Instant now) -> TaskRun&;

/// @brief Removes a run from its executor. The caller must be certain that it is not active there and will not start
/// later.
auto removeRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor) -> void;

/// @brief Removes a run whose end was not read, and notes why, for the log. The same certainty is needed.
auto dropRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor, DropReason reason,
    Instant now) -> void;

/// @brief Notes a reported run that the scheduler does not know, for the log.
auto noteFoundRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor, bool hasEnded,
    bool isStopped) -> void;

/// @brief Lets `planStops` stop a run.
auto stopRun(Scheduler& scheduler, TaskRun& run) -> void;

/// @brief Lets `planStops` stop all runs of a step.
auto stopRuns(Scheduler& scheduler, StepState& step) -> void;

/// @brief Finds a run of a task on an executor; null when there is none.
auto findRun(Scheduler& scheduler, const TaskKey& key, std::uint32_t run, ExecutorIndex executor) -> TaskRun*;

/// @brief Whether an ended run would count as a failure of its task: not if it was counted before, if its job has
/// ended, or if the task is long-running and is started again however often it fails.
auto countsAsFailure(Scheduler& scheduler, const EndedRun& end) -> bool;

/// @brief Applies the outcome of an ended run. A run that is reported again is counted once.
auto applyRunEnd(Scheduler& scheduler, ExecutorIndex executor, const EndedRun& end, Instant now, WallMillis wall)
    -> void;

/// @brief Applies an executor's answer to a request to start a run.
/// @param wasRepeated an earlier request for the same start got no answer and may still be carried out
auto applyStartAnswer(Scheduler& scheduler, ExecutorIndex executor, const TaskKey& key, std::uint32_t run,
    StartAnswer answer, bool wasRepeated, Instant now) -> void;

/// @brief Notes that an executor confirmed a stop; from then on it refuses that run.
auto applyStopAnswer(Scheduler& scheduler, ExecutorIndex executor, const TaskKey& key, std::uint32_t run, Instant now)
    -> void;

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/Job.h"
#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Adds a job; a known job is left unchanged.
/// @param wall end of the job if it was cancelled before it was added
/// @result true when the job is new
auto addJob(Scheduler& scheduler, JobSpec spec, Instant now, WallMillis wall) -> bool;

/// @brief Cancels a job and stops its runs. If the job is unknown, it is cancelled as soon as it is added.
auto cancelJob(Scheduler& scheduler, JobId id, WallMillis wall) -> void;

/// @brief Removes a job, unless an executor may still have a run of it: the job of each run in `Executor::m_runs` is
/// known.
/// @result true when the job was removed
auto dropJob(Scheduler& scheduler, JobId id) -> bool;

/// @brief Marks a job's progress as changed, so that it is stored with the next batch.
auto markDirty(Scheduler& scheduler, Job& job) -> void;

/// @brief Makes the next plan of starts look at the steps of a job again.
auto markChanged(Scheduler& scheduler, Job& job) -> void;

/// @brief Sets the phase of a job; on a final phase its runs are stopped. A job that has ended keeps its phase.
auto enterPhase(Scheduler& scheduler, Job& job, JobPhase phase, WallMillis wall) -> void;

/// @brief Notes that a task of the job has started. This is stored with the job's next change: after a takeover the
/// executors' reports show it again.
auto markBegun(Job& job) -> void;

/// @brief Finds a task by its key.
/// @result null when there is no such task
auto findTask(Scheduler& scheduler, const TaskKey& key) -> TaskState*;

/// @brief Finds a step by the key of one of its tasks.
/// @result null when there is no such step
auto findStep(Scheduler& scheduler, const TaskKey& key) -> StepState*;

/// @brief Finds a job by its id; null when it is unknown.
auto findJob(const Scheduler& scheduler, JobId id) -> Job*;

/// @brief Completes the occurrence if all its steps are done, and with the last occurrence the job.
auto completeWhenDone(Scheduler& scheduler, Job& job, Occurrence& occurrence, WallMillis wall) -> void;

/// @brief Removes ended jobs without runs from the active ones.
auto retireJobs(Scheduler& scheduler) -> void;

/// @brief Number of a queue's jobs of which no task is known to have started.
auto countWaitingJobs(const Scheduler& scheduler, std::string_view queue) -> std::size_t;

/// @brief Whether all steps that a step depends on are done.
auto isStepReady(const StepSpec& spec, const Occurrence& occurrence) -> bool;

} // namespace hemlockvane::scheduling

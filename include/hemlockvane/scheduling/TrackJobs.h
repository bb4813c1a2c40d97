#pragma once

#include "hemlockvane/scheduling/Job.h"
#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/time/Time.h"

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Takes in a job; one that is known already is left as it is.
/// @result true when the job is new
auto addJob(Scheduler& scheduler, JobSpec spec, Instant now) -> bool;

/// @brief Cancels a job; its runs are to be stopped. A job not seen yet is cancelled when it arrives.
auto cancelJob(Scheduler& scheduler, JobId id, WallMillis wall) -> void;

/// @brief Forgets a job.
auto dropJob(Scheduler& scheduler, JobId id) -> void;

/// @brief Marks a job's progress as not yet stored.
auto markDirty(Scheduler& scheduler, Job& job) -> void;

/// @brief Puts a job into a phase; on a final one its runs are to be stopped.
auto enterPhase(Scheduler& scheduler, Job& job, JobPhase phase, WallMillis wall) -> void;

/// @brief Occurrence of a job, made when it is missing.
/// @result null when the job has no such occurrence
auto ensureOccurrence(Job& job, std::uint32_t number) -> Occurrence*;

/// @brief Begins the occurrences that are due.
auto openDueOccurrences(Job& job, WallMillis wall) -> void;

/// @brief Task by its key.
/// @result null when there is no such task
auto findTask(Scheduler& scheduler, const TaskKey& key) -> TaskState*;

/// @brief Step by the key of one of its tasks.
/// @result null when there is no such step
auto findStep(Scheduler& scheduler, const TaskKey& key) -> StepState*;

/// @brief Job by its id; null when it is unknown.
auto findJob(const Scheduler& scheduler, JobId id) -> Job*;

/// @brief Completes the occurrence, and with the last one the job, once all its steps are done.
auto completeWhenDone(Scheduler& scheduler, Job& job, Occurrence& occurrence, WallMillis wall) -> void;

/// @brief Takes jobs that have ended and have no run left out of the active ones.
auto retireJobs(Scheduler& scheduler) -> void;

/// @brief True when all steps that a step comes after are done.
auto isStepReady(const StepSpec& spec, const Occurrence& occurrence) -> bool;

} // namespace hemlockvane::scheduling

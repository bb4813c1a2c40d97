#pragma once

#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/JobSpec.h"

namespace hemlockvane::scheduling {

struct Job;
struct Scheduler;

/// @brief Progress of a job in the form in which it is stored.
auto progressOf(const Scheduler& scheduler, const Job& job) -> JobProgress;

/// @brief Restores the stored progress of a job that has just been added; its executors must be registered already.
auto restoreProgress(Scheduler& scheduler, JobId id, const JobProgress& progress, Instant now) -> void;

/// @brief Restores further tasks of a job, and their runs, after `restoreProgress`.
auto restoreTasks(Scheduler& scheduler, JobId id, const JobProgress& progress, Instant now) -> void;

} // namespace hemlockvane::scheduling

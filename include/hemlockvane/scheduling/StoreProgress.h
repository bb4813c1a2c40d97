#pragma once

#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/JobSpec.h"

namespace hemlockvane::scheduling {

struct Job;
struct Scheduler;

/// @brief A job's progress as it is to be stored.
auto progressOf(const Scheduler& scheduler, const Job& job) -> JobProgress;

/// @brief Puts stored progress back into a job that has just been taken in; the executors are listed already.
auto restoreProgress(Scheduler& scheduler, JobId id, const JobProgress& progress, Instant now) -> void;

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/JobProgress.h"
#include "hemlockvane/scheduling/JobSpec.h"

namespace hemlockvane::scheduling {

struct Job;
struct Scheduler;

/// @brief A job's progress as it is to be stored.
auto progressOf(const Job& job) -> JobProgress;

/// @brief Puts stored progress back into a job that has just been taken in.
auto restoreProgress(Scheduler& scheduler, JobId id, const JobProgress& progress) -> void;

} // namespace hemlockvane::scheduling

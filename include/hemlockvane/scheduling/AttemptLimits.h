#pragma once

#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hemlockvane::scheduling {

struct FleetRules;
struct Job;
struct Scheduler;
struct StepState;
struct TaskState;

/// @brief Number of failed runs of one task, or of a gang, with which a job fails.
/// @result empty while it is not known: the job's queue is not configured, or no configuration has been read yet
auto maximumAttempts(const FleetRules& rules, const Job& job) -> std::optional<std::uint32_t>;

/// @brief Whether a task of the step has used up its attempts by a limit that may be out of date, so that its job has
/// not been failed: no further run is started until that is decided.
[[nodiscard]] auto awaitsLimit(const Scheduler& scheduler, const Job& job, const StepState& step, const TaskState& task)
    -> bool;

/// @brief Applies the limits to the failures that none was applied to: those that were restored, or counted while the
/// limit was not known or not recent enough. Fails the jobs with an unfinished task that has used up its attempts.
/// @result the jobs that failed
auto failExhaustedJobs(Scheduler& scheduler, WallMillis wall) -> std::vector<JobId>;

/// @brief Replaces the configuration, closes the executors of evacuated zones, and applies limits to the failures that
/// no limit was applied to. A lower limit fails a job with its next failure only, since the operators may withdraw it
/// before.
/// @result the jobs that failed
auto applyRules(Scheduler& scheduler, const FleetRules& rules, WallMillis wall) -> std::vector<JobId>;

} // namespace hemlockvane::scheduling

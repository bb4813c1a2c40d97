#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockvane::scheduling {

struct FleetRules;
struct Job;
struct Scheduler;

/// @brief Number of failed runs of one task, or of a gang, with which a job fails.
/// @result empty while the job's queue is not configured; the configuration may not have been read yet
auto maximumAttempts(const FleetRules& rules, const Job& job) -> std::optional<std::uint32_t>;

/// @brief Fails the jobs that have used up their attempts. Needed whenever a limit or a count becomes known other than
/// by the end of a run.
auto failExhaustedJobs(Scheduler& scheduler, WallMillis wall) -> void;

/// @brief Replaces the configuration and fails the jobs that have used up the attempts it allows.
auto applyRules(Scheduler& scheduler, const FleetRules& rules, WallMillis wall) -> void;

} // namespace hemlockvane::scheduling

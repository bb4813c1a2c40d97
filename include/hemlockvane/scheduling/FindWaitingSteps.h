#pragma once

#include "hemlockvane/scheduling/WaitingStep.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Finds the steps whose long-running tasks the last plan left waiting. For diagnosis: costs as much as the
/// executors of a pool for each such step.
/// @result in the order in which they are planned
[[nodiscard]] auto findWaitingSteps(Scheduler& scheduler, Instant now) -> std::vector<WaitingStep>;

} // namespace hemlockvane::scheduling

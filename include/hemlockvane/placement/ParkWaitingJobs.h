#pragma once

#include "hemlockvane/placement/PlacementPlan.h"

namespace hemlockvane {

/// @brief Parks waiting jobs, which means that they get no further attempt: jobs that no worker can hold, whose
/// deadline passed, or that failed on several reliable workers.
/// @complexity linear in the waiting jobs
auto parkWaitingJobs(PlacementPlan& plan) -> void;

} // namespace hemlockvane

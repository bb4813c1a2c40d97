#pragma once

#include "hemlockvane/placement/PlacementPlan.h"

namespace hemlockvane {

/// @brief Ends waiting jobs that can never run, whose deadline passed, or that failed on several good workers.
/// @complexity linear in the waiting jobs
auto parkWaitingJobs(PlacementPlan& plan) -> void;

} // namespace hemlockvane

#pragma once

#include "hemlockvane/placement/PlacementPlan.h"

namespace hemlockvane {

/// @brief Places urgent jobs first, preempting other tasks where no capacity is free, then all others by team share.
/// @complexity placements times workers of the pool
auto placeWaitingJobs(PlacementPlan& plan) -> void;

} // namespace hemlockvane

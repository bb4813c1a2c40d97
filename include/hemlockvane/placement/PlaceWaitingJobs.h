#pragma once

#include "hemlockvane/placement/PlacementPlan.h"

namespace hemlockvane {

/// @brief Places urgent jobs, clearing room for them where there is none, then the others by team share.
/// @complexity placements times workers of the pool
auto placeWaitingJobs(PlacementPlan& plan) -> void;

} // namespace hemlockvane

#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/placement/PlacementAction.h"
#include "hemlockvane/placement/PlacementInput.h"
#include "hemlockvane/placement/PlacementState.h"

#include <vector>

namespace hemlockvane {

/// @brief Plans placement for the holder of the placement duty.
///
/// - Ends attempts whose worker must have stopped them, and parks waiting jobs that cannot run.
/// - Places waiting jobs, urgent ones first, then by team share.
/// - Preempts tasks of teams over their share, on workers over their memory or draining, in favour of urgent jobs, and
///   tasks that are cancelled or past their deadline.
///
/// Jobs with a PlaceJob or EndAttempt in flight are left out of further plans until `onPlaced`, `onEnded` or
/// `onNotRecorded` is called.
/// @complexity waiting and running jobs plus placements times workers of the pool
auto planPlacement(const FleetState& fleet, PlacementState& state, const PlacementInput& input)
    -> std::vector<PlacementAction>;

} // namespace hemlockvane

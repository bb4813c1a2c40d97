#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/placement/PlacementAction.h"
#include "hemlockvane/placement/PlacementInput.h"
#include "hemlockvane/placement/PlacementState.h"

#include <vector>

namespace hemlockvane {

/// @brief Plans for the holder of the placement duty: ends what can never run or must have stopped, places waiting jobs
/// (urgent first, then by team share), and presses tasks that are over their share, over their worker's memory, in
/// the way of urgent work, on a draining worker, cancelled or past their deadline.
///
/// PlaceJob and EndAttempt are remembered as being on their way until `onPlaced`, `onEnded` or `onNotRecorded`.
/// @complexity waiting and running jobs plus placements times workers of the pool
auto planPlacement(const FleetState& fleet, PlacementState& state, const PlacementInput& input)
    -> std::vector<PlacementAction>;

} // namespace hemlockvane

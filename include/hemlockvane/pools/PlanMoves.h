#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/pools/MoveAction.h"
#include "hemlockvane/pools/MoveInput.h"
#include "hemlockvane/pools/MovePlanState.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Plans all moves of instances between pools, for the holder of the placement duty.
///
/// A pool that has lacked instances for some time is filled from the spare pools first, then from the pool with the
/// largest surplus over its recent peak demand. No other moves are made: instances that a pool no longer needs stay
/// there as part of the shared buffer until another pool needs them.
/// @complexity linear in the instances for each move
auto planMoves(const FleetState& fleet, MovePlanState& state, const MoveInput& input) -> std::vector<MoveAction>;

/// @brief Marks a move's record as no longer in flight.
/// @param accepted true when the fold accepted it; the instance's cooldown then starts
auto onMoveRecorded(MovePlanState& state, std::string_view instance, bool accepted, WallMillis now) -> void;

} // namespace hemlockvane

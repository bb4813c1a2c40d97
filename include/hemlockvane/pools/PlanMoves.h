#pragma once

#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/pools/MoveAction.h"
#include "hemlockvane/pools/MoveInput.h"
#include "hemlockvane/pools/MovePlanState.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Plans all moves between pools together, for the holder of the placement duty.
///
/// A pool that lacked instances for some time is filled, from the spare pools first, then from the pool with the most
/// to spare beyond its recent peak. Nothing else moves: what a pool no longer needs stays where it is, as a part of the
/// shared buffer, until another pool needs it.
/// @complexity linear in the instances for each move
auto planMoves(const FleetState& fleet, MovePlanState& state, const MoveInput& input) -> std::vector<MoveAction>;

/// @brief Takes the outcome of a move's record.
auto onMoveRecorded(MovePlanState& state, std::string_view instance, bool accepted, WallMillis now) -> void;

} // namespace hemlockvane

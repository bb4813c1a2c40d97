#pragma once

#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::fleet {

struct FleetTiming;
struct FleetView;

/// @brief Plans moves of idle machines to pools whose demand exceeds their capacity, spare machines first, and moves of
/// machines that stay idle to the spare pool.
///
/// Queues reach several times their mean load at different times, so their pools can share machines. Only machines
/// without runs are moved, so no task is interrupted.
/// @param actions receives the moves
auto planPoolMoves(const FleetView& view, const FleetTiming& timing, Instant now, std::vector<FleetAction>& actions)
    -> void;

} // namespace hemlockvane::fleet

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
///
/// When all are busy, none would become free for long-running tasks whose step may not use the machines of its pool:
/// what ends there makes room for short tasks again. So machines without long-running tasks are drained for them, those
/// of their own pool first, then the least busy ones.
/// @param actions receives the moves, drains and releases
auto planPoolMoves(const FleetView& view, const FleetTiming& timing, Instant now, std::vector<FleetAction>& actions)
    -> void;

} // namespace hemlockvane::fleet

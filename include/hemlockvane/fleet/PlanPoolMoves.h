#pragma once

#include "hemlockvane/fleet/FleetAction.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::fleet {

struct FleetTiming;
struct FleetView;

/// @brief Gives pools that ask for more than they hold the idle machines of others, spare ones first, and parks
/// machines that stay idle; answers the load of queues that take turns at several times their mean.
///
/// Only empty machines move: no task ends for it.
/// @param actions receives moves
auto planPoolMoves(const FleetView& view, const FleetTiming& timing, Instant now, std::vector<FleetAction>& actions)
    -> void;

} // namespace hemlockvane::fleet

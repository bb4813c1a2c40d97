#pragma once

#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/scheduling/Executor.h"
#include "hemlockvane/time/Time.h"

#include <string>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Executor that is on a machine now; null when there is none.
auto executorOf(CoordinatorState& state, const std::string& machine) -> scheduling::Executor*;

/// @brief What the plans for machines are made from.
auto buildFleetView(CoordinatorState& state, Instant now) -> fleet::FleetView;

} // namespace hemlockvane::detail

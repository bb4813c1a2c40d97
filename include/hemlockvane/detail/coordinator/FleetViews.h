#pragma once

#include "hemlockvane/fleet/FleetView.h"
#include "hemlockvane/scheduling/Executor.h"
#include "hemlockvane/time/Time.h"

#include <string>

namespace hemlockvane::detail {

struct CoordinatorState;

/// @brief Executor that runs on a machine; null when there is none.
auto executorOf(CoordinatorState& state, const std::string& machine) -> scheduling::Executor*;

/// @brief Builds the view of pools and machines from which machine orders are planned.
auto buildFleetView(CoordinatorState& state, Instant now) -> fleet::FleetView;

} // namespace hemlockvane::detail

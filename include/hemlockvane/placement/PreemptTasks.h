#pragma once

#include "hemlockvane/placement/PlacementPlan.h"

namespace hemlockvane {

/// @brief Asks for pressure on tasks that are cancelled, past their deadline, on a draining worker, over their worker's
/// memory, or over their team's share while another team waits below its own.
/// @complexity running and waiting jobs times a logarithm
auto requestPreemption(PlacementPlan& plan) -> void;

/// @brief Takes the next due step of every task to be pressed, and releases throttled ones that no longer are.
/// @complexity linear in the tasks
auto preemptTasks(PlacementPlan& plan) -> void;

} // namespace hemlockvane

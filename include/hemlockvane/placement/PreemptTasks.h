#pragma once

#include "hemlockvane/placement/PlacementPlan.h"

namespace hemlockvane {

/// @brief Requests preemption of tasks that are cancelled, past their deadline or on a draining worker, of tasks on a
/// worker over its memory, and of tasks of a team over its share while another team waits below its own.
/// @complexity running and waiting jobs times a logarithm
auto requestPreemption(PlacementPlan& plan) -> void;

/// @brief Sends the next due preemption step of every requested task, and unthrottles tasks whose preemption is
/// no longer requested.
/// @complexity linear in the tasks
auto preemptTasks(PlacementPlan& plan) -> void;

} // namespace hemlockvane

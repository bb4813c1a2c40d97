#pragma once

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Slows fillers on executors where a serving task comes near its target, and lets them go again.
///
/// Answers the load of serving tasks that share an executor with tasks that take all that is left.
/// @param actions receives paces
auto paceFillers(Scheduler& scheduler, Instant now, std::vector<Action>& actions) -> void;

} // namespace hemlockvane::scheduling

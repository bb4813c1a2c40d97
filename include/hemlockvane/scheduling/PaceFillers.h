#pragma once

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/time/Time.h"

#include <vector>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Slows fillers down where a serving task on the same executor nears its latency target, and speeds them up
/// again afterwards.
///
/// Fillers use all processor time that is left over, which raises the latency of serving tasks beside them.
/// @param actions receives the pace changes
auto paceFillers(Scheduler& scheduler, Instant now, std::vector<Action>& actions) -> void;

} // namespace hemlockvane::scheduling

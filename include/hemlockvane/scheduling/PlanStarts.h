#pragma once

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <vector>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Starts waiting tasks on executors with enough free capacity.
///
/// When a pool cannot hold all tasks, the order is: by priority of the queue, then long-running tasks, then jobs that
/// can still meet their objective, the earliest deadline first; then late jobs that have begun; then the other late
/// ones, the least late first; last the jobs past three times their objective. Where pools are shared, the steps of
/// workspaces within their share come before the others of the same priority that are not too late; see `ShareRoom.h`.
/// @param actions receives starts and requests to the advice service
auto planStarts(Scheduler& scheduler, Instant now, WallMillis wall, std::vector<Action>& actions) -> void;

} // namespace hemlockvane::scheduling

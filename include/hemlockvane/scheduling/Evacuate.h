#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include <cstddef>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Stops long-running tasks on an executor that is being emptied, so that they are restarted on other executors.
///
/// At most `m_maxUnavailable` tasks of a step are unavailable at a time; further tasks of the step are stopped only
/// once the earlier ones are available again.
/// @result number of runs that are now being stopped
auto evacuate(Scheduler& scheduler, ExecutorIndex index) -> std::size_t;

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include <cstddef>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Stops lasting tasks on an executor that is to be emptied, so that they go on elsewhere.
///
/// Of each step no more are away at once than it may miss; the others wait for those to be at work again.
/// @result number of runs to be stopped
auto evacuate(Scheduler& scheduler, ExecutorIndex index) -> std::size_t;

} // namespace hemlockvane::scheduling

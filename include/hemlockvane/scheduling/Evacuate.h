#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include <cstddef>

namespace hemlockvane::scheduling {

struct Action;
struct Scheduler;

/// @brief Stops long-running tasks on an executor that is being emptied, so that they are restarted on other executors.
///
/// At most `m_maxUnavailable` tasks of a step are unavailable at a time; further tasks of the step are stopped only
/// once the earlier ones are available again.
/// @result number of runs that are now being stopped
auto evacuate(Scheduler& scheduler, ExecutorIndex index) -> std::size_t;

/// @brief Stops long-running tasks in evacuated availability zones, within the same limit, so that they are restarted
/// elsewhere.
///
/// A task goes on where it is while no executor elsewhere has room for it, since a stop would only lose its service.
/// @result number of runs that are now being stopped
auto evacuateZones(Scheduler& scheduler) -> std::size_t;

/// @brief Checks a planned stop against the present state, right before it is sent.
///
/// A stop by `evacuate` is withdrawn, and its run goes on, if so many other tasks of the step have become unavailable
/// since that it would exceed the step's limit. A stop that may have been sent before is repeated.
/// @param wasSent whether an earlier request of the stop may have been sent
/// @result whether the stop may be sent
[[nodiscard]] auto confirmStop(Scheduler& scheduler, const Action& stop, bool wasSent) -> bool;

} // namespace hemlockvane::scheduling

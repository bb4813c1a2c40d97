#pragma once

#include "hemlockvane/scheduling/ContendedPool.h"

#include <vector>

namespace hemlockvane::scheduling {

struct PoolShare;
struct Scheduler;
struct StartCandidate;

/// @brief Finds the pools whose free capacity cannot hold all tasks that wait, and divides each among its workspaces by
/// their weights.
///
/// Answers the load of a workspace that sends many times its usual: without shares its jobs have the earliest deadlines
/// as often as it sends, and take the place of all others. A pool that holds everything is not listed, so that nothing
/// changes there.
[[nodiscard]] auto findContendedPools(const Scheduler& scheduler) -> std::vector<ContendedPool>;

/// @brief The share of a candidate's workspace; null if its pool is not contended.
[[nodiscard]] auto findShare(Scheduler& scheduler, const StartCandidate& candidate) -> PoolShare*;

/// @brief Whether a further task of the workspace may be started before those of workspaces that have less than their
/// share. The last task may exceed the share, since tasks cannot be divided.
[[nodiscard]] auto hasShareLeft(const PoolShare* share) -> bool;

/// @brief Counts a task of the candidate that is being started.
auto useShare(Scheduler& scheduler, const StartCandidate& candidate) -> void;

} // namespace hemlockvane::scheduling

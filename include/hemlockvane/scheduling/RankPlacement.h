#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include <cstdint>
#include <tuple>

namespace hemlockvane::scheduling {

struct Scheduler;
struct StartCandidate;
struct TaskState;

/// @brief How well an executor suits a task; the smallest is the best.
using PlacementRank = std::tuple<bool, bool, bool, bool, bool, std::int64_t>;

/// @brief Ranks an executor that may hold a task: not failed there before, near its data, then packed.
///
/// Tasks that end go to the fullest executor. Lasting tasks hold their machines in the pool all day, so they share few
/// of them: up to what two rounds of evacuation take away, and not most of a step on one rack. Tasks that serve users
/// slow each other down and are spread.
[[nodiscard]] auto rankPlacement(const Scheduler& scheduler, const StartCandidate& candidate, const TaskState& task,
    ExecutorIndex index) -> PlacementRank;

} // namespace hemlockvane::scheduling

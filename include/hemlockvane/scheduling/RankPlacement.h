#pragma once

#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <tuple>

namespace hemlockvane::scheduling {

struct Scheduler;
struct StartCandidate;
struct TaskState;

/// @brief Suitability of an executor for a task; the smallest rank is the best.
using PlacementRank = std::tuple<bool, bool, bool, bool, bool, std::int64_t, std::int64_t>;

/// @brief Ranks an executor that can hold a task. Executors where the task has not failed before come first, then those
/// on the rack of its data.
///
/// Tasks that end by themselves go to the fullest executor that is neither cold nor due for maintenance, so that the
/// latter become empty where there is room elsewhere. Long-running tasks keep their machines in the pool all day, so
/// they are packed on few machines: at most as many tasks of a step on one machine as two rounds of evacuation remove,
/// and about half of a step on one rack. Tasks that serve users slow each other down and are spread. Of executors that
/// differ in nothing but their load, those come first where no image is known to slow the task down or to be slowed
/// down by it.
[[nodiscard]] auto rankPlacement(const Scheduler& scheduler, const StartCandidate& candidate, const TaskState& task,
    ExecutorIndex index, Instant now) -> PlacementRank;

} // namespace hemlockvane::scheduling

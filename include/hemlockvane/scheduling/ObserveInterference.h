#pragma once

#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane::scheduling {

struct Scheduler;
struct StepSpec;

/// @brief Measures the tasks that serve users on each executor, twice a second, with the images beside them. Tasks that
/// name no image are left out.
auto observeLatencies(Scheduler& scheduler, Instant now) -> void;

/// @brief Measures a task that has just been done by the time that it took.
/// @param duration from the answer to its start to its end; 0: unknown
auto observeDuration(Scheduler& scheduler, ExecutorIndex executor, const StepSpec& spec, Duration duration, Instant now)
    -> void;

/// @brief Harm that a task of the step is known to cause and to suffer on an executor, in percent of the targets.
/// 0 if nothing is known or images are not kept apart.
[[nodiscard]] auto expectedHarm(const Scheduler& scheduler, const StepSpec& spec, ExecutorIndex executor)
    -> std::int64_t;

} // namespace hemlockvane::scheduling

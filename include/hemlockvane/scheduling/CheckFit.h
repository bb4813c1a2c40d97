#pragma once

#include "hemlockvane/scheduling/Resources.h"
#include "hemlockvane/scheduling/TaskRun.h"

#include <string_view>

namespace hemlockvane::scheduling {

struct Executor;
struct StartCandidate;

/// @brief What keeps a task of the step from an executor that is open for starts.
/// @param planned further resources that are taken there
/// @result empty if it has room for the task
[[nodiscard]] auto obstacleToRoom(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index,
    const Resources& planned) -> std::string_view;

/// @result whether the step may run there by its policy, if it has one
[[nodiscard]] auto hasTicket(const StartCandidate& candidate, const Executor& executor, ExecutorIndex index) -> bool;

} // namespace hemlockvane::scheduling

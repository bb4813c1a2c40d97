#pragma once

#include "hemlockvane/scheduling/TaskKey.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace hemlockvane::scheduling {

/// @brief A step with long-running tasks that wait, and what keeps them from the executors of their pool.
struct WaitingStep {
    TaskKey m_firstTask; ///< The first of its tasks that waits.
    std::string m_service;
    std::size_t m_waitingTasks = 0;
    std::size_t m_tasks = 0;
    std::string_view m_obstacle; ///< What holds the first task back wherever there is room; empty: nothing.
    std::map<std::string_view, std::size_t>
        m_executors; ///< Executors of the pool by obstacle; "none" can hold the task.
};

} // namespace hemlockvane::scheduling

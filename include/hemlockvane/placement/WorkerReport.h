#pragma once

#include "hemlockvane/placement/TaskReport.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief What a worker says of itself: every task that it runs, and every ended one not yet acknowledged.
struct WorkerReport {
    std::string m_worker;
    std::string m_incarnation; ///< Changes when the worker restarts and so forgets its tasks.
    std::int64_t m_workerClockMs
        = 0; ///< Worker's monotonic clock in ms when it made the report; renewals count from it.
    std::vector<TaskReport> m_tasks;
};

} // namespace hemlockvane

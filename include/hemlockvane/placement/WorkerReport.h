#pragma once

#include "hemlockvane/placement/TaskReport.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief Periodic report of a worker: all running tasks and all ended tasks that were not acknowledged yet.
struct WorkerReport {
    std::string m_worker;
    std::string m_incarnation; ///< Changes when the worker restarts, which loses its tasks.
    std::int64_t m_workerClockMs = 0; ///< The worker's monotonic clock at the time of the report, in ms. A renewed
                                      ///< lease counts from it.
    std::vector<TaskReport> m_tasks;
};

} // namespace hemlockvane

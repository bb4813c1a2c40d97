#pragma once

#include <cstddef>
#include <cstdint>

namespace hemlockvane::fleetrun {

/// @brief The jobs of tasks that last which a queue gets, one step each.
struct LastingSite {
    std::size_t m_jobs = 1;
    std::size_t m_tasks = 5; ///< Mean of a job.
    std::size_t m_mostTasks = 5;
    std::int64_t m_cpu = 0; ///< Of a task; 0: as of the queue's other tasks.
    std::int64_t m_memoryMb = 1024; ///< Of a task, mean.
    double m_spread = 0; ///< Of the number of tasks and of their memory.
    std::size_t m_perExecutor = 0; ///< Most tasks of a job on one executor; 0: any number.
    std::size_t m_mayMiss = 0; ///< Tasks of a job that the product may have away at the same time.
};

} // namespace hemlockvane::fleetrun

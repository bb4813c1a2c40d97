#pragma once

#include "LastingSite.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockvane::fleetrun {

/// @brief A pool of executors of one service and the quick jobs that it gets.
struct PoolSite {
    std::string m_service;
    std::string m_queue; ///< Prefix of its route.
    std::size_t m_executors = 0;
    bool m_isSpare = false;
    double m_jobsPerSecond = 0;
    double m_steps = 1; ///< Mean number of steps of a job, 1 to 2.
    std::size_t m_tasks = 0; ///< Of a step.
    std::int64_t m_workMs = 0;
    std::int64_t m_cpu = 0; ///< Of a task, in thousandths of a core.
    std::int64_t m_memoryMb = 1024; ///< Of a task.
    double m_spread = 0; ///< Of the number of tasks, their work, processor and memory, about their means.
    LastingSite m_lasting {};
};

} // namespace hemlockvane::fleetrun

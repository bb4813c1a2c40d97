#pragma once

#include "hemlockvane/scheduling/Arrival.h"
#include "hemlockvane/scheduling/Executor.h"
#include "hemlockvane/scheduling/FleetRules.h"
#include "hemlockvane/scheduling/Job.h"
#include "hemlockvane/scheduling/SchedulerTiming.h"
#include "hemlockvane/scheduling/TaskKey.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief All that the owner of the fleet's work knows. Changed only by the functions of this slice.
struct Scheduler {
    FleetRules m_rules;
    SchedulerTiming m_timing;
    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    std::set<JobId> m_active; ///< Jobs that are not final, or final with runs left.
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::unordered_map<std::string, ExecutorIndex> m_executorById;
    std::map<std::string, Resources> m_usedByWorkspace;
    std::map<std::string, std::deque<Arrival>> m_arrivals; ///< By queue; of the last moments.
    std::vector<JobId> m_dirtyJobs; ///< Progress to be stored.
    std::uint64_t m_openBatch = 1; ///< Journal batch that takes the next changes.
    std::set<JobId> m_earlyCancellations; ///< Cancelled, but the job itself was not read yet.
};

} // namespace hemlockvane::scheduling

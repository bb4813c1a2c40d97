#pragma once

#include "hemlockvane/interference/InterferenceState.h"
#include "hemlockvane/scheduling/Arrival.h"
#include "hemlockvane/scheduling/ContendedPool.h"
#include "hemlockvane/scheduling/DroppedRun.h"
#include "hemlockvane/scheduling/Executor.h"
#include "hemlockvane/scheduling/FleetRules.h"
#include "hemlockvane/scheduling/FoundRun.h"
#include "hemlockvane/scheduling/Job.h"
#include "hemlockvane/scheduling/JobMemory.h"
#include "hemlockvane/scheduling/LostRun.h"
#include "hemlockvane/scheduling/NoticedLife.h"
#include "hemlockvane/scheduling/SchedulerTiming.h"
#include "hemlockvane/scheduling/StartFlow.h"
#include "hemlockvane/scheduling/StartIndex.h"
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

/// @brief The owner's state of jobs and executors. Only the functions of this namespace change it.
struct Scheduler {
    FleetRules m_rules;
    bool m_mayFailJobs = true; ///< Whether `m_rules` is recent enough for a decision that is final.
    std::set<JobId> m_undecidedJobs; ///< Jobs with failures that no limit has been applied to yet.
    SchedulerTiming m_timing;
    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    JobMemory m_jobMemory;
    std::set<JobId> m_active; ///< Jobs that have not ended, and ended jobs that still have runs.
    std::vector<JobId> m_endedJobs; ///< Ended jobs in `m_active`.
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::vector<ExecutorIndex> m_activeExecutors; ///< Those that plans look at: all but the retired ones.
    std::unordered_map<std::string, ExecutorIndex> m_executorById;
    std::map<std::string, Resources> m_usedByWorkspace;
    /// By queue and workspace: what running tasks use that are not long-running.
    std::map<std::string, std::map<std::string, Resources>> m_usedByQueue;
    bool m_sharesPools = false; ///< Whether pools that cannot hold all tasks are shared by the workspaces' weights.
    std::vector<ContendedPool> m_contendedPools; ///< At the last plan of starts.
    std::map<std::string, std::deque<Arrival>> m_arrivals; ///< Recent arrivals, by queue.
    std::vector<JobId> m_dirtyJobs; ///< Jobs with progress that is not in the journal yet.
    std::uint64_t m_openBatch = 1; ///< Number of the journal batch that will contain the next changes.
    /// Jobs whose cancellation was read before their submission, and when.
    std::map<JobId, WallMillis> m_earlyCancellations;
    Instant m_registryReadAt; ///< When the newest answered read of the registry was sent.
    std::vector<TaskKey> m_crashingTasks; ///< Tasks found to crash executors, whose jobs are to be failed.
    StartFlow m_startFlow;
    std::vector<LostRun> m_lostRuns; ///< Runs that were lost since the owner last logged them.
    std::vector<DroppedRun> m_droppedRuns; ///< Runs that were forgotten since the owner last logged them.
    std::vector<FoundRun> m_foundRuns; ///< Unknown runs that were reported since the owner last logged them.
    std::vector<NoticedLife> m_noticedLives; ///< New lives of executors since the owner last logged them.
    interference::InterferenceState m_interference;
    bool m_separatesInterference = true; ///< Whether placement keeps images apart that slow each other down.
    StartIndex m_starts;
};

} // namespace hemlockvane::scheduling

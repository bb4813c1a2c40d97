#pragma once

#include "hemlockvane/scheduling/IndexedExecutor.h"
#include "hemlockvane/scheduling/QueueRules.h"
#include "hemlockvane/scheduling/StartCandidate.h"
#include "hemlockvane/scheduling/StartPool.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief What one plan of starts keeps for the next, so that its cost follows what has changed.
struct StartIndex {
    std::map<std::string, QueueRules> m_queues; ///< Rules by which the candidates were made.
    std::vector<StartCandidate> m_candidates; ///< In the order in which they are started.
    std::vector<JobId> m_changedJobs; ///< Jobs whose candidates are to be made anew.
    std::set<std::pair<WallMillis, JobId>> m_dueOccurrences; ///< Times at which occurrences become due.
    std::set<std::pair<Instant, JobId>> m_overdueRuns; ///< Times after which a run may need a duplicate.
    std::vector<StartPool> m_pools;
    std::vector<IndexedExecutor> m_executors; ///< By `ExecutorIndex`.
    std::uint64_t m_activations = 0; ///< Number of activations of executors so far.
};

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/CandidateClass.h"
#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/scheduling/Resources.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockvane::scheduling {

struct Job;
struct QueueRules;
struct StepSpec;
struct StepState;

/// @brief A step with tasks that wait for an executor.
struct StartCandidate {
    Job* m_job = nullptr;
    const QueueRules* m_queue = nullptr;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    StepState* m_state = nullptr;
    const StepSpec* m_spec = nullptr;
    CandidateClass m_class = CandidateClass::LongRunning; ///< Lower classes start first.
    std::int64_t m_order = 0; ///< The least first within a class.
    std::int64_t m_dueMs = 0; ///< Deadline of the job's objective, Unix time.
    std::int64_t m_objectiveMs = 0; ///< From the job's begin to that deadline.
    JobId m_jobId = 0;
    std::int32_t m_priority = 0;
    std::int64_t m_criticalPathMs = 0; ///< From the start of the step to the end of the job.
    std::int64_t m_criticalPathSteps = 0; ///< Steps on that path.
    bool m_isBegun = false; ///< A task of the occurrence has been started.
    Resources m_need; ///< Of one task.
    std::size_t m_pool = 0; ///< Index in `StartIndex::m_pools`.
    std::uint64_t m_blockedAt = 0; ///< Version of the pool in which the step found no room; 0: none.
    std::uint64_t m_nothingToAskAt = 0; ///< Version of the pool in which there was nothing to ask for advice; 0: none.
};

} // namespace hemlockvane::scheduling

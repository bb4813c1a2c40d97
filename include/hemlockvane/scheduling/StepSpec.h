#pragma once

#include "hemlockvane/scheduling/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One step of a job as submitted: `m_taskCount` tasks of the same kind.
struct StepSpec {
    std::uint32_t m_taskCount = 1;
    Resources m_perTask;
    std::int64_t m_estimateMs = 0; ///< Estimated duration of one task.
    std::vector<std::uint32_t> m_after; ///< Indexes of the steps that must be done first.
    bool m_savesCheckpoints = false;
    bool m_isGang = false; ///< The tasks run only together: all start at once and end together.
    bool m_needsOneRack = false; ///< The gang is slower across racks.
    std::string m_requiredLabel; ///< Empty: any executor.
    std::string m_dataRack; ///< Rack that holds the input data; empty: none.
    std::uint32_t m_perExecutorLimit = 0; ///< Maximum number of tasks of the step on one executor; 0: no limit.
    bool m_allowsDuplicates = false;
    bool m_isLongRunning = false; ///< The tasks run until the job is cancelled.
    std::string m_image;
    std::int64_t m_targetMs = 0; ///< Tail latency target of a task that serves users; 0: it serves none.
    bool m_isFiller = false; ///< Uses only the processor time that other tasks leave over.
    std::uint32_t m_maxUnavailable = 0; ///< Maximum number of tasks unavailable at a time by the system's own actions.
};

} // namespace hemlockvane::scheduling

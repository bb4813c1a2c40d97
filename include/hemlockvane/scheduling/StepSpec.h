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
    std::int64_t m_estimateMs = 0; ///< Rough duration of one task.
    std::vector<std::uint32_t> m_after; ///< Earlier steps that must be done first.
    bool m_savesCheckpoints = false;
    bool m_isGang = false; ///< The tasks work only together.
    bool m_needsOneRack = false; ///< A gang that is slower across racks.
    std::string m_requiredLabel; ///< Empty: any executor.
    std::string m_dataRack; ///< Rack where the data is; empty: none.
    std::uint32_t m_perExecutorLimit = 0; ///< Most tasks of the step on one executor; 0: no limit.
    bool m_allowsDuplicates = false;
    bool m_isLongRunning = false; ///< Runs until the job is cancelled.
    std::string m_image;
    std::int64_t m_targetMs = 0; ///< Most tail latency of a serving task; 0: serves nobody.
    bool m_isFiller = false; ///< Uses only the capacity that others leave.
    std::uint32_t m_maxUnavailable = 0; ///< Tasks that may be away by the system's own actions.
};

} // namespace hemlockvane::scheduling

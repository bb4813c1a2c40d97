#pragma once

#include "hemlockvane/scheduling/TaskState.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One step's progress within one occurrence.
struct StepState {
    std::vector<TaskState> m_tasks;
    std::uint32_t m_doneCount = 0;
    std::uint32_t m_gangFailures = 0;
    std::map<ExecutorIndex, std::uint32_t> m_runsByExecutor; ///< Runs of the step on each executor.
    std::map<std::string, std::string> m_tickets; ///< Executor id to ticket, as advised.
    Instant m_ticketsUntil; ///< When the tickets expire.
    bool m_isAdviceAsked = false;
    Instant m_nextAdviceAt; ///< Earliest time of the next question.
};

} // namespace hemlockvane::scheduling

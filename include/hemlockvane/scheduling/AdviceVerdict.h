#pragma once

#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

/// @brief What the advice service said of one executor for one step.
struct AdviceVerdict {
    ExecutorIndex m_executor = 0;
    std::int64_t m_startedAtMs = 0; ///< The life of the executor about which it was asked.
    std::string m_ticket; ///< Empty: the executor may not run the step.
    Instant m_expiresAt; ///< Of the ticket.
};

} // namespace hemlockvane::scheduling

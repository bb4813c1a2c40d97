#pragma once

#include "hemlockvane/scheduling/ActionKind.h"
#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/scheduling/TaskRun.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One order that the scheduler decided.
struct Action {
    ActionKind m_kind = ActionKind::Start;
    ExecutorIndex m_executor = 0;
    TaskKey m_task; ///< AskAdvice: the step; its index counts nothing.
    std::uint32_t m_run = 0;
    std::int32_t m_percent = 100; ///< Pace only.
    std::string m_ticket; ///< Start on an advised queue.
    std::vector<std::string> m_candidates; ///< AskAdvice: ids of executors.
    const char* m_reason = ""; ///< For the log.
};

} // namespace hemlockvane::scheduling

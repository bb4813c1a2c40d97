#pragma once

#include "hemlockvane/scheduling/ActionKind.h"
#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/scheduling/TaskRun.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One action that the scheduler decided on; the coordinator sends it.
struct Action {
    ActionKind m_kind = ActionKind::Start;
    ExecutorIndex m_executor = 0;
    TaskKey m_task; ///< AskAdvice: names the step; `m_index` is unused.
    std::uint32_t m_run = 0;
    std::int32_t m_percent = 100; ///< Pace: new pace of the run, percent of full speed.
    std::string m_ticket; ///< Start: ticket of the advice service, if the queue needs advice.
    std::vector<std::string> m_candidates; ///< AskAdvice: ids of the executors to ask about.
    const char* m_reason = ""; ///< Logged with the action.
};

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/TaskKey.h"

#include <cstdint>
#include <functional>
#include <string>

namespace hemlockvane::detail {

/// @brief Request to start one run of a task.
struct StartRequest {
    scheduling::TaskKey m_task;
    std::uint32_t m_run = 0;
    std::string m_payload;
    std::int64_t m_deadlineMs = 0; ///< New end of the lease for all runs there, on the executor's clock.
    std::uint64_t m_fencingToken = 0;
    std::string m_checkpoint;
    std::string m_ticket;
    std::function<void(std::int64_t clockMs)> m_onAnswer; ///< Called with the executor's clock in its answer.
};

} // namespace hemlockvane::detail

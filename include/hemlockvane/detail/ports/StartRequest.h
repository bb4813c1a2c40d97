#pragma once

#include "hemlockvane/scheduling/TaskKey.h"

#include <cstdint>
#include <string>

namespace hemlockvane::detail {

/// @brief An order to start one run of a task.
struct StartRequest {
    scheduling::TaskKey m_task;
    std::uint32_t m_run = 0;
    std::string m_payload;
    std::int64_t m_deadlineMs = 0; ///< On the executor's clock; the lease of all that runs there.
    std::uint64_t m_epoch = 0;
    std::string m_checkpoint;
    std::string m_ticket;
};

} // namespace hemlockvane::detail

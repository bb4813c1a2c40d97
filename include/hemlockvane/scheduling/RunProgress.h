#pragma once

#include "hemlockvane/scheduling/TaskKey.h"

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

/// @brief A run that may be on an executor; stored before its start is sent.
struct RunProgress {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    std::string m_executorId;
};

} // namespace hemlockvane::scheduling

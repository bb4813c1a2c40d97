#pragma once

#include "hemlockvane/scheduling/TaskKey.h"

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief Reference to a run in the list of an executor's runs.
struct ExecutorRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;

    auto operator==(const ExecutorRun&) const -> bool = default;
};

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/TaskKey.h"

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

/// @brief A run that an executor reports as active.
struct ReportedRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    std::string m_checkpoint;
    std::int32_t m_percent = 0;
    std::int64_t m_measurement = 0; ///< Serving task: tail latency in ms; other task: processor use in millicores.
};

} // namespace hemlockvane::scheduling

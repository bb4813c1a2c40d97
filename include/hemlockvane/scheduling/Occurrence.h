#pragma once

#include "hemlockvane/scheduling/StepState.h"

#include <cstdint>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One run of all steps of a job.
struct Occurrence {
    std::uint32_t m_number = 0;
    WallMillis m_due = 0;
    std::vector<StepState> m_steps;
    bool m_isDone = false;
};

} // namespace hemlockvane::scheduling

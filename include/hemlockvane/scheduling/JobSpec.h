#pragma once

#include "hemlockvane/scheduling/StepSpec.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief Sixteen hexadecimal digits chosen by the caller, as a number.
using JobId = std::uint64_t;

/// @brief A job as submitted.
struct JobSpec {
    JobId m_id = 0;
    std::string m_queue; ///< Name of the queue, not of its service.
    std::string m_workspace;
    std::string m_payload; ///< Passed to every task unchanged.
    std::vector<StepSpec> m_steps;
    std::uint32_t m_occurrences = 0; ///< 0: runs once, at once.
    WallMillis m_firstDue = 0;
    std::int64_t m_intervalMs = 0;
    WallMillis m_submittedAt = 0;
};

} // namespace hemlockvane::scheduling

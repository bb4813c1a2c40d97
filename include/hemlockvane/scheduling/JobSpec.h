#pragma once

#include "hemlockvane/scheduling/StepSpec.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief Id chosen by the caller: sixteen hexadecimal digits, as a number.
using JobId = std::uint64_t;

/// @brief A job as submitted.
struct JobSpec {
    JobId m_id = 0;
    std::string m_queue; ///< Name of the queue (not of the service that it uses).
    std::string m_workspace;
    std::string m_payload; ///< Passed unchanged to every task.
    std::vector<StepSpec> m_steps;
    std::uint32_t m_occurrences = 0; ///< Number of scheduled occurrences; 0: the job runs once, immediately.
    WallMillis m_firstDue = 0;
    std::int64_t m_intervalMs = 0;
    WallMillis m_submittedAt = 0;
};

} // namespace hemlockvane::scheduling

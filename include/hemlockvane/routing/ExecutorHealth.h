#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief Whether requests are sent to an executor.
enum class ExecutorStanding : std::uint8_t { Good, SetAside, Probation };

/// @brief What one entry learnt of an executor from its answers.
struct ExecutorHealth {
    ExecutorStanding m_standing = ExecutorStanding::Good;
    std::uint32_t m_samples = 0;
    double m_failures = 0; ///< Moving part of requests that failed by the executor's fault.
    double m_slowness = 1; ///< Moving ratio of run time to the usual one.
    std::uint32_t m_successes = 0; ///< In a row, in probation.
    std::uint32_t m_timesSetAside = 0; ///< In a row; decides for how long.
    Instant m_until; ///< End of the time set aside.
};

} // namespace hemlockvane

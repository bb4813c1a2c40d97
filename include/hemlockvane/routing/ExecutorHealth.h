#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief Whether requests are sent to an executor.
enum class EjectionState : std::uint8_t { Accepting, Ejected, Probation };

/// @brief What one entry learnt of an executor from its answers.
struct ExecutorHealth {
    EjectionState m_ejectionState = EjectionState::Accepting;
    std::uint32_t m_samples = 0;
    double m_failureRate = 0; ///< Moving part of requests that failed by the executor's fault.
    double m_slowness = 1; ///< Moving ratio of run time to the usual one.
    std::uint32_t m_successes = 0; ///< In a row, in probation.
    std::uint32_t m_ejections = 0; ///< In a row; decides for how long.
    Instant m_ejectedUntil; ///< End of the time set aside.
};

} // namespace hemlockvane

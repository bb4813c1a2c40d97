#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief Whether an executor gets requests: all, none because it was ejected, or a few in probation.
enum class EjectionState : std::uint8_t { Accepting, Ejected, Probation };

/// @brief One entry's statistics of an executor's answers.
struct ExecutorHealth {
    EjectionState m_ejectionState = EjectionState::Accepting;
    std::uint32_t m_samples = 0; ///< Number of results in the averages.
    double m_failureRate = 0; ///< Moving average: fraction of requests that failed because of the executor.
    double m_slowness = 1; ///< Moving average: run time divided by the team's mean run time.
    std::uint32_t m_successes = 0; ///< Consecutive good answers in probation.
    std::uint32_t m_ejections = 0; ///< Consecutive ejections; each doubles the ejection time.
    Instant m_ejectedUntil; ///< End of the ejection.
};

} // namespace hemlockvane

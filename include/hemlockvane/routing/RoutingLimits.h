#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief Bounds of the routing decisions of one service.
struct RoutingLimits {
    double m_maximumEjectedFraction
        = 0.2; ///< Part of the service's executors that may be set aside at once; one at least.
    std::uint32_t m_minimumSamples = 5; ///< Outcomes before an executor is judged.
    double m_maximumFailureRate = 0.5; ///< Failing part of its requests above which an executor is set aside.
    double m_failureRatio = 3; ///< It must also fail so many times as often as the others.
    double m_slowRatio = 4; ///< Run time, as a multiple of the team's usual one, above which it is set aside.
    Duration m_baseEjectionTime { 1000 }; ///< Doubled each time that probation fails.
    Duration m_maximumEjectionTime { 60000 };
    std::uint32_t m_probationSuccesses = 3; ///< Good answers in probation that end it.
};

} // namespace hemlockvane

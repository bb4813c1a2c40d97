#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>

namespace hemlockvane {

/// @brief Limits of the routing decisions of one service.
struct RoutingLimits {
    double m_maximumEjectedFraction = 0.2; ///< Of the service's executors; at least one may be ejected.
    std::uint32_t m_minimumSamples = 5; ///< Number of results before an executor may be ejected.
    double m_maximumFailureRate = 0.5; ///< An executor above it may be ejected.
    double m_failureRatio = 3; ///< Its failure rate must also exceed that of the others by this factor.
    /// An executor may be ejected if its slowness exceeds this multiple of the mean slowness of the others, which
    /// counts as at least 1. In probation, one answer of a higher slowness than this ejects it again.
    double m_slowRatio = 4;
    Duration m_baseEjectionTime { 1000 }; ///< Doubled for each failed probation.
    Duration m_maximumEjectionTime { 60000 };
    std::uint32_t m_probationSuccesses = 3; ///< Consecutive good answers that end probation.
};

} // namespace hemlockvane

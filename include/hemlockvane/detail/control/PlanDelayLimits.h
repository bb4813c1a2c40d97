#pragma once

#include <algorithm>
#include <chrono>

namespace hemlockvane::detail {

/// @brief Paces a planner so that it takes a bounded part of one processor core, however large the fleet is.
struct PlanDelayLimits {
    std::chrono::milliseconds m_minimum { 250 }; ///< Interval of a plan that takes next to no time.
    std::chrono::milliseconds m_maximum { 4000 };
    int m_durationMultiple = 50; ///< A plan is followed by so many times its own duration.
};

/// @brief How long to wait after a plan.
/// @param took duration of the plan
inline auto delayAfterPlan(const PlanDelayLimits& pace, std::chrono::microseconds took) -> std::chrono::milliseconds
{
    const auto rest = std::chrono::ceil<std::chrono::milliseconds>(took * pace.m_durationMultiple);
    return std::clamp(rest, pace.m_minimum, pace.m_maximum);
}

} // namespace hemlockvane::detail

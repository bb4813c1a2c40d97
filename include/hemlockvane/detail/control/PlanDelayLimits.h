#pragma once

#include <algorithm>
#include <chrono>

namespace hemlockvane::detail {

/// @brief Delay between two plans. It grows with the duration of a plan, so that planning uses a bounded part of one
/// processor core however large the fleet is.
struct PlanDelayLimits {
    std::chrono::milliseconds m_minimum { 250 }; ///< For plans that take almost no time.
    std::chrono::milliseconds m_maximum { 4000 };
    int m_durationMultiple = 50; ///< The delay is this many times the duration of the last plan.
};

/// @brief Delay from the end of a plan to the start of the next one.
/// @param planDuration duration of the plan that has just ended
inline auto delayAfterPlan(const PlanDelayLimits& limits, std::chrono::microseconds planDuration)
    -> std::chrono::milliseconds
{
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(planDuration * limits.m_durationMultiple);
    return std::clamp(delay, limits.m_minimum, limits.m_maximum);
}

} // namespace hemlockvane::detail

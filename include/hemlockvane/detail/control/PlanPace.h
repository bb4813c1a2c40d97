#pragma once

#include <algorithm>
#include <chrono>

namespace hemlockvane::detail {

/// @brief Paces a planner so that it takes a bounded part of one processor core, however large the fleet is.
struct PlanPace {
    std::chrono::milliseconds m_shortest { 250 }; ///< Interval of a plan that takes next to no time.
    std::chrono::milliseconds m_longest { 4000 };
    int m_partOfCore = 50; ///< A plan is followed by so many times its own duration.
};

/// @brief How long to wait after a plan.
/// @param took duration of the plan
inline auto nextInterval(const PlanPace& pace, std::chrono::microseconds took) -> std::chrono::milliseconds
{
    const auto rest = std::chrono::ceil<std::chrono::milliseconds>(took * pace.m_partOfCore);
    return std::clamp(rest, pace.m_shortest, pace.m_longest);
}

} // namespace hemlockvane::detail

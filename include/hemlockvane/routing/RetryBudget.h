#pragma once

#include <algorithm>
#include <cstdint>

namespace hemlockvane {

/// @brief One retry in the budget's unit, thousandths.
inline constexpr std::uint32_t wholeRetry = 1000;

/// @brief Bounds retries to a part of the requests, so that a failing service is not loaded with more.
struct RetryBudget {
    std::uint32_t m_perRequest = 100; ///< Thousandths of a retry earned by each first attempt.
    std::uint32_t m_most = 20 * wholeRetry; ///< What can be saved up.
    std::uint32_t m_saved = 20 * wholeRetry;
};

/// @brief A request is sent for the first time.
inline auto earnRetry(RetryBudget& budget) -> void
{
    budget.m_saved = std::min(budget.m_most, budget.m_saved + budget.m_perRequest);
}

/// @brief Takes one retry out of the budget.
/// @result false when less than one is left
inline auto spendRetry(RetryBudget& budget) -> bool
{
    if (budget.m_saved < wholeRetry)
        return false;
    budget.m_saved -= wholeRetry;
    return true;
}

} // namespace hemlockvane

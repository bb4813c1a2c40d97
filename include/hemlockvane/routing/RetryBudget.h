#pragma once

#include <algorithm>
#include <cstdint>

namespace hemlockvane {

/// @brief One retry in the budget's unit, thousandths.
inline constexpr std::uint32_t oneRetry = 1000;

/// @brief Bounds retries to a part of the requests, so that a failing service is not loaded with more.
struct RetryBudget {
    std::uint32_t m_earnedPerRequest = 100; ///< Thousandths of a retry earned by each first attempt.
    std::uint32_t m_maximum = 20 * oneRetry; ///< What can be saved up.
    std::uint32_t m_balance = 20 * oneRetry;
};

/// @brief A request is sent for the first time.
inline auto earnRetry(RetryBudget& budget) -> void
{
    budget.m_balance = std::min(budget.m_maximum, budget.m_balance + budget.m_earnedPerRequest);
}

/// @brief Takes one retry out of the budget.
/// @result false when less than one is left
inline auto spendRetry(RetryBudget& budget) -> bool
{
    if (budget.m_balance < oneRetry)
        return false;
    budget.m_balance -= oneRetry;
    return true;
}

} // namespace hemlockvane

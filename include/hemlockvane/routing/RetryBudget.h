#pragma once

#include <algorithm>
#include <cstdint>

namespace hemlockvane {

/// @brief One retry in the budget's unit, thousandths of a retry.
inline constexpr std::uint32_t oneRetry = 1000;

/// @brief Limits retries to a fraction of the requests, so that retries do not overload a failing service.
struct RetryBudget {
    std::uint32_t m_earnedPerRequest = 100; ///< Thousandths of a retry earned by each first attempt.
    std::uint32_t m_maximum = 20 * oneRetry; ///< Maximum balance.
    std::uint32_t m_balance = 20 * oneRetry;
};

/// @brief Adds to the balance for the first attempt of a request.
inline auto earnRetry(RetryBudget& budget) -> void
{
    budget.m_balance = std::min(budget.m_maximum, budget.m_balance + budget.m_earnedPerRequest);
}

/// @brief Subtracts one retry from the balance.
/// @result false if less than one retry is left
inline auto spendRetry(RetryBudget& budget) -> bool
{
    if (budget.m_balance < oneRetry)
        return false;
    budget.m_balance -= oneRetry;
    return true;
}

} // namespace hemlockvane

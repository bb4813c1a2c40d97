#pragma once

#include "hemlockvane/keys/PendingWithdrawal.h"

#include <cstddef>
#include <map>
#include <string>

namespace hemlockvane {

/// @brief Withdrawals that one entry accepts before they are recorded.
inline constexpr std::size_t maximumPendingWithdrawals = 1000;

/// @brief Withdrawals in force at this entry that not every member is known to have folded. Only grows until recorded.
struct PendingWithdrawals {
    std::map<std::string, PendingWithdrawal, std::less<>> m_withdrawals; ///< By key id.
};

} // namespace hemlockvane

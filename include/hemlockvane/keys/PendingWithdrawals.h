#pragma once

#include "hemlockvane/keys/PendingWithdrawal.h"

#include <cstddef>
#include <map>
#include <string>

namespace hemlockvane {

/// @brief Number of pending withdrawals from which on an entry refuses another one from an operator.
inline constexpr std::size_t maximumPendingWithdrawals = 1000;

/// @brief Withdrawals in force at this entry that not every member is known to have folded. A withdrawal is removed
/// only after it was recorded.
struct PendingWithdrawals {
    std::map<std::string, PendingWithdrawal, std::less<>> m_withdrawals; ///< By key id.
};

} // namespace hemlockvane

#pragma once

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief What an operator is told of a withdrawal.
struct WithdrawalProgress {
    bool m_recorded = false; ///< In the log.
    std::vector<std::string> m_inForce; ///< Members that refuse the key.
    std::vector<std::string> m_waiting; ///< Members not heard to refuse it; they stop when their vouch runs out.
};

} // namespace hemlockvane

#pragma once

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief Progress of a withdrawal, as reported to the operator.
struct WithdrawalProgress {
    bool m_recorded = false; ///< It is recorded in the log.
    std::vector<std::string> m_inForce; ///< Members that refuse the key.
    std::vector<std::string> m_waiting; ///< Not confirmed; they refuse all keys once their vouch expires.
};

} // namespace hemlockvane

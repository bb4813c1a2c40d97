#pragma once

#include <string>

namespace hemlockvane::detail {

/// @brief One row of the platform's instance list.
struct ListedInstance {
    std::string m_id;
    std::string m_kind; ///< "entry", "executor" or "worker".
    std::string m_service; ///< Of an executor.
    std::string m_zone;
    std::string m_rack;
    std::string m_address; ///< IP number and port.
    bool m_isLeaving = false;
};

} // namespace hemlockvane::detail

#pragma once

#include <span>
#include <string>
#include <string_view>

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

/// @brief Finds a worker on the instance list.
/// @result null when it is not listed; valid while the list lives
/// @complexity linear in the list
auto findWorker(std::span<const ListedInstance> listed, std::string_view id) -> const ListedInstance*;

} // namespace hemlockvane::detail

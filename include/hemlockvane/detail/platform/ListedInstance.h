#pragma once

#include <span>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief An entry of the platform's instance list.
struct ListedInstance {
    std::string m_id;
    std::string m_kind; ///< "entry", "executor" or "worker".
    std::string m_service; ///< Service of an executor; empty for other kinds.
    std::string m_zone;
    std::string m_rack;
    std::string m_address; ///< IP number and port.
    bool m_isLeaving = false; ///< The instance is shutting down and gets no new work.
};

/// @brief Finds a worker in the instance list by its id.
/// @result null when it is not listed; valid while the list lives
/// @complexity linear in the size of the list
auto findWorker(std::span<const ListedInstance> listed, std::string_view id) -> const ListedInstance*;

} // namespace hemlockvane::detail

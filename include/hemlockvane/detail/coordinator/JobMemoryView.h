#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace hemlockvane::detail {

/// @brief What the owner's memory can take of further jobs, in bytes.
struct JobMemoryView {
    std::size_t m_left = 0;
    std::map<std::string, std::size_t> m_byWorkspace; ///< Used by the jobs of those workspaces that use most.
};

} // namespace hemlockvane::detail

#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace hemlockvane::scheduling {

/// @brief Estimated memory of all known jobs, in bytes.
struct JobMemory {
    std::size_t m_total = 0;
    std::map<std::string, std::size_t> m_byWorkspace; ///< Workspaces that have jobs.
};

} // namespace hemlockvane::scheduling

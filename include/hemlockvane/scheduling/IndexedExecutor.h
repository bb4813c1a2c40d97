#pragma once

#include "hemlockvane/scheduling/ExecutorAccess.h"
#include "hemlockvane/scheduling/Resources.h"

#include <cstddef>
#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief State of an executor with which `StartIndex` contains it.
struct IndexedExecutor {
    ExecutorAccess m_access = ExecutorAccess::Closed;
    bool m_isUnresponsive = false;
    std::uint32_t m_entryVersion = 0; ///< 0: not seen yet.
    std::size_t m_pool = 0; ///< Index in `StartIndex::m_pools`.
    Resources m_used;
    Resources m_capacity;
    std::uint64_t m_activation = 0;
};

} // namespace hemlockvane::scheduling

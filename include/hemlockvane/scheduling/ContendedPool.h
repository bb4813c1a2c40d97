#pragma once

#include "hemlockvane/scheduling/PoolShare.h"

#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief A pool that cannot hold all waiting tasks, and how it is shared.
struct ContendedPool {
    std::string m_service;
    double m_milliCoresPerMb = 0; ///< Processor of the pool for each MB of its memory.
    std::vector<PoolShare> m_shares; ///< Of the workspaces with running or waiting tasks.
};

} // namespace hemlockvane::scheduling

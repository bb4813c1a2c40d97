#pragma once

#include "hemlockvane/scheduling/Resources.h"

namespace hemlockvane::scheduling {

/// @brief One workspace as configured.
struct WorkspaceRules {
    double m_weight = 1; ///< Weight of its share when the pools are full.
    Resources m_limit; ///< Maximum resources of its running tasks over all executors; 0: no limit.
};

} // namespace hemlockvane::scheduling

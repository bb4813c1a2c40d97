#pragma once

#include "hemlockvane/scheduling/Resources.h"

namespace hemlockvane::scheduling {

/// @brief One workspace as configured.
struct WorkspaceRules {
    double m_weight = 1; ///< Share when all is full.
    Resources m_limit; ///< Most it may have running over all executors; 0: no limit.
};

} // namespace hemlockvane::scheduling

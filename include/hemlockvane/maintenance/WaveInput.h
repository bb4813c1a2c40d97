#pragma once

#include "hemlockvane/maintenance/InstanceHealth.h"
#include "hemlockvane/time/Time.h"

#include <map>
#include <string>

namespace hemlockvane {

/// @brief What a wave's plan is made from besides the fold.
struct WaveInput {
    WallMillis m_now = 0;
    bool m_mayAct = false; ///< The instance is vouched for, the log takes appends and the instance list is fresh.
    std::map<std::string, InstanceHealth, std::less<>> m_health; ///< An instance that is missing counts as failed.
};

} // namespace hemlockvane

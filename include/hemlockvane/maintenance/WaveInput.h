#pragma once

#include "hemlockvane/maintenance/InstanceHealth.h"
#include "hemlockvane/time/Time.h"

#include <map>
#include <string>

namespace hemlockvane {

/// @brief Input of a maintenance plan besides the folded state.
struct WaveInput {
    WallMillis m_now = 0;
    bool m_mayAct = false; ///< True while this instance's membership is confirmed (vouched), the log accepts appends
                           ///< and the instance list is recent.
    std::map<std::string, InstanceHealth, std::less<>> m_health; ///< By instance; a missing one counts as failed.
};

} // namespace hemlockvane

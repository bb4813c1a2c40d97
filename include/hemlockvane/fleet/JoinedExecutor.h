#pragma once

#include "hemlockvane/time/Time.h"

#include <string>

namespace hemlockvane::fleet {

/// @brief An executor that the registry showed on a machine.
struct JoinedExecutor {
    std::string m_id;
    Instant m_noticedAt; ///< When it, or its present life, became known.
};

} // namespace hemlockvane::fleet

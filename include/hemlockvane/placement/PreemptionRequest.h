#pragma once

#include "hemlockvane/placement/PreemptionLevel.h"

#include <string>

namespace hemlockvane {

/// @brief Why and how a running task is to be pressed.
struct PreemptionRequest {
    PreemptionLevel m_from = PreemptionLevel::Throttled; ///< First step taken.
    PreemptionLevel m_to = PreemptionLevel::Stopping; ///< Last step taken.
    std::string m_reason;
};

} // namespace hemlockvane

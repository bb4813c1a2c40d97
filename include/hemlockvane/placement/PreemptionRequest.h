#pragma once

#include "hemlockvane/placement/PreemptionLevel.h"

#include <string>

namespace hemlockvane {

/// @brief Reason and range of steps for the preemption of a running task.
struct PreemptionRequest {
    PreemptionLevel m_from = PreemptionLevel::Throttled; ///< First step to send.
    PreemptionLevel m_to = PreemptionLevel::Stopping; ///< Last step to send.
    std::string m_reason;
};

} // namespace hemlockvane

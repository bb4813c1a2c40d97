#pragma once

#include "hemlockvane/placement/PressureLevel.h"

#include <string>

namespace hemlockvane {

/// @brief Why and how a running task is to be pressed.
struct PressureRequest {
    PressureLevel m_from = PressureLevel::Throttled; ///< First step taken.
    PressureLevel m_to = PressureLevel::Stopping; ///< Last step taken.
    std::string m_reason;
};

} // namespace hemlockvane

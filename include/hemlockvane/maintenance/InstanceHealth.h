#pragma once

namespace hemlockvane {

/// @brief What the instance list and the worker itself say of an instance.
struct InstanceHealth {
    bool m_healthy = false; ///< Listed as live, and heard.
    bool m_rebooted = false; ///< Started anew since its drain began.
};

} // namespace hemlockvane

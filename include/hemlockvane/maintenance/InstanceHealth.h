#pragma once

namespace hemlockvane {

/// @brief Health of an instance according to the instance list and the worker's own reports.
struct InstanceHealth {
    bool m_healthy = false; ///< Listed as live, and its worker reports.
    bool m_rebooted = false; ///< Restarted since its drain began.
};

} // namespace hemlockvane

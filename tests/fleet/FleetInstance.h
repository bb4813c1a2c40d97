#pragma once

#include <sys/types.h>

#include <string>

namespace hemlockvane::fleetrun {

/// @brief One process of the product.
struct FleetInstance {
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_process = 0; ///< 0: not running.
};

} // namespace hemlockvane::fleetrun

#pragma once

#include "FleetLoad.h"

#include <cstdint>
#include <string>

namespace hemlockvane::fleetrun {

/// @brief What is played; see the command line of FleetRun.
struct FleetOptions {
    std::string m_program;
    std::string m_folder;
    std::uint64_t m_seed = 1;
    int m_seconds = 0;
    std::uint16_t m_basePort = 0;
    std::string m_troubles;
    std::string m_site; ///< "roata" or "maraval".
    double m_work = 1;
    FleetLoad m_load;
    int m_memoryMb = 0; ///< Of each machine.
    bool m_watchesRequests = false; ///< Also sends requests on connections that stay open.
};

} // namespace hemlockvane::fleetrun

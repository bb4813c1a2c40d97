#pragma once

#include "PoolSite.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::fleetrun {

/// @brief A deployment as in the users' pages; the addresses are on loopback.
struct FleetSite {
    std::vector<PoolSite> m_pools;
    std::vector<std::string> m_zones;
    std::size_t m_instances = 0;
    std::int64_t m_executorCpu = 0;
    std::int64_t m_executorMemoryMb = 0;
    std::size_t m_perRack = 0;
};

/// @result the deployment Roata
inline auto roataSite() -> FleetSite
{
    FleetSite site;
    site.m_pools = {
        { "programari", "/booking/", 9, false, 7.05, 1.6, 6, 640, 4600 },
        { "piese", "/parts/", 9, false, 0.832, 2, 8, 1700, 9900 },
        { "ridicare", "/pickup/", 11, false, 8.81, 1.6, 6, 640, 4600 },
        { "garantie", "/warranty/", 12, false, 1.02, 2, 8, 1700, 9900 },
        { "diverse", "/misc/", 8, true, 0, 1, 0, 0, 0 },
    };
    site.m_zones = { "ro-centru-a", "ro-centru-b", "ro-centru-c" };
    site.m_instances = 8;
    site.m_executorCpu = 64000;
    site.m_executorMemoryMb = 262144;
    site.m_perRack = 4;
    return site;
}

} // namespace hemlockvane::fleetrun

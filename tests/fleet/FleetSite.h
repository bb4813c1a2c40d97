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
    std::string m_region;
    std::size_t m_instances = 0;
    std::int64_t m_executorCpu = 0;
    std::int64_t m_executorMemoryMb = 0;
    std::size_t m_perRack = 0;
    std::int64_t m_longestHoldMs = 0; ///< Executors shorten longer leases to this.
    std::int64_t m_longestStopMs = 0;
    std::int64_t m_turnMs = 6000; ///< Each queue in turn asks five times its mean for this time, and little otherwise.
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
    site.m_region = "ro-centru";
    site.m_instances = 8;
    site.m_executorCpu = 64000;
    site.m_executorMemoryMb = 262144;
    site.m_perRack = 4;
    site.m_longestHoldMs = 6000;
    site.m_longestStopMs = 900;
    return site;
}

/// @result the deployment Maraval, without advice and without tasks that fill
inline auto maravalSite() -> FleetSite
{
    const auto lasting = [](std::int64_t cpu) {
        return LastingSite { .m_jobs = 2,
            .m_tasks = 5,
            .m_mostTasks = 8,
            .m_cpu = cpu,
            .m_memoryMb = 17000,
            .m_spread = 0.4,
            .m_perExecutor = 1,
            .m_mayMiss = 1 };
    };
    FleetSite site;
    site.m_pools = {
        { "counter", "/price/", 8, false, 9, 1.6, 6, 640, 1800, 6500, 0.5, lasting(2700) },
        { "orders", "/stock/", 9, false, 1.08, 2, 8, 1700, 3800, 14000, 0.5, lasting(3000) },
        { "resellers", "/tariff/", 11, false, 11.3, 1.6, 6, 640, 1800, 6500, 0.5, lasting(3400) },
        { "uniforms", "/bulk/", 12, false, 1.32, 2, 8, 1700, 3800, 14000, 0.5, lasting(3700) },
        { "backoffice", "/misc/", 8, true, 0, 1, 0, 0, 0 },
    };
    site.m_zones = { "tt-north-a", "tt-north-b", "tt-north-c", "tt-north-d" };
    site.m_region = "tt-north";
    site.m_instances = 9;
    site.m_executorCpu = 32000;
    site.m_executorMemoryMb = 131072;
    site.m_perRack = 4;
    site.m_longestHoldMs = 10000;
    site.m_longestStopMs = 200;
    site.m_turnMs = 4000;
    return site;
}

} // namespace hemlockvane::fleetrun

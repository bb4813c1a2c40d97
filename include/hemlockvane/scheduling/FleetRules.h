#pragma once

#include "hemlockvane/scheduling/QueueRules.h"
#include "hemlockvane/scheduling/WorkspaceRules.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hemlockvane::scheduling {

/// @brief Queues, services and workspaces of the newest configuration.
struct FleetRules {
    std::int64_t m_version = 0;
    std::map<std::string, QueueRules> m_queues;
    std::map<std::string, WorkspaceRules> m_workspaces;
    std::set<std::string> m_services; ///< All services, including spare pools.
    std::set<std::string> m_unguardedServices; ///< Their executors do not check their capacity.
    std::set<std::string> m_spareServices; ///< Spare pools: their machines are switched off.
    std::set<std::string> m_evacuatedZones; ///< No task is started in these availability zones.
};

} // namespace hemlockvane::scheduling

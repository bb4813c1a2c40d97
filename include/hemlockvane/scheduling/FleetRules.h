#pragma once

#include "hemlockvane/scheduling/QueueRules.h"
#include "hemlockvane/scheduling/WorkspaceRules.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hemlockvane::scheduling {

/// @brief What the newest configuration says about queues, services and workspaces.
struct FleetRules {
    std::int64_t m_version = 0;
    std::map<std::string, QueueRules> m_queues;
    std::map<std::string, WorkspaceRules> m_workspaces;
    std::set<std::string> m_services; ///< All services, spare ones included.
    std::set<std::string> m_spareServices; ///< Their machines are off.
};

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/limits/TeamDemand.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief One entry's demand for a service's executor slots, and the slots that it has.
struct SlotEntry {
    std::string m_instance;
    std::string m_zone;
    std::vector<TeamDemand> m_teams;
    std::map<std::string, std::uint32_t, std::less<>> m_held; ///< Slots charged to the entry, by executor.
    std::map<std::string, std::uint32_t, std::less<>> m_connections; ///< Maximum connections, by executor.
};

} // namespace hemlockvane

#pragma once

#include <cstdint>
#include <string_view>

namespace hemlockvane {

/// @brief One team's usage, demand and share of the fleet's capacity, in millicores.
struct TeamEntitlement {
    std::string_view m_team;
    std::int64_t m_weight = 1;
    std::int64_t m_running = 0; ///< Including placements in flight.
    std::int64_t m_demand = 0; ///< Running plus waiting jobs.
    std::int64_t m_entitled = 0; ///< Weighted max-min fair share.
};

} // namespace hemlockvane

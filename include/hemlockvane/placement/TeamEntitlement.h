#pragma once

#include <cstdint>
#include <string_view>

namespace hemlockvane {

/// @brief One team's part in the fleet's capacity, in millicores.
struct TeamEntitlement {
    std::string_view m_team;
    std::int64_t m_weight = 1;
    std::int64_t m_running = 0; ///< Including what is being placed.
    std::int64_t m_demand = 0; ///< Running and waiting.
    std::int64_t m_entitled = 0; ///< Weighted max-min share.
};

} // namespace hemlockvane

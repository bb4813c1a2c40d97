#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief Permits that a team could use at one entry now.
struct TeamDemand {
    std::string m_team;
    std::uint32_t m_demand = 0;

    auto operator==(const TeamDemand&) const -> bool = default;
};

} // namespace hemlockvane

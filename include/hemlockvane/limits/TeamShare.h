#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief A team's share of a shared capacity at one entry.
struct TeamShare {
    std::string m_team;
    std::uint32_t m_milliPermits = 0; ///< Thousandths of a permit.

    auto operator==(const TeamShare&) const -> bool = default;
};

} // namespace hemlockvane

#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief Part of a shared capacity that one team is entitled to at one entry.
struct TeamShare {
    std::string m_team;
    std::uint32_t m_milliPermits = 0; ///< Thousandths of a permit.

    auto operator==(const TeamShare&) const -> bool = default;
};

} // namespace hemlockvane

#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Into how many duties the claims and the team limits are cut; equal on every entry.
struct DutyCounts {
    std::uint32_t m_claimSlots = 64;
    std::uint32_t m_escrowSlots = 16;
};

} // namespace hemlockvane

#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Numbers of claims and escrow duties; must be equal on every entry.
struct DutyCounts {
    std::uint32_t m_claimSlots = 64;
    std::uint32_t m_escrowSlots = 16;
};

} // namespace hemlockvane

#pragma once

#include "hemlockvane/fleet/FleetActionKind.h"

#include <cstdint>
#include <string>

namespace hemlockvane::fleet {

/// @brief One planned action on a machine.
struct FleetAction {
    FleetActionKind m_kind = FleetActionKind::Reserve;
    std::string m_machine;
    std::uint64_t m_wave = 0; ///< Reserve and Maintain only: number of the wave.
    std::string m_pool; ///< Move and Drain only: destination pool.
    const char* m_reason = ""; ///< Written to the log line.
};

} // namespace hemlockvane::fleet

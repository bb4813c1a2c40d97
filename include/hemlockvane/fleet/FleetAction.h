#pragma once

#include "hemlockvane/fleet/FleetActionKind.h"

#include <cstdint>
#include <string>

namespace hemlockvane::fleet {

/// @brief One decision about a machine.
struct FleetAction {
    FleetActionKind m_kind = FleetActionKind::Reserve;
    std::string m_machine;
    std::uint64_t m_wave = 0; ///< Maintain only.
    std::string m_pool; ///< Move only: where to.
    const char* m_reason = ""; ///< For the log.
};

} // namespace hemlockvane::fleet

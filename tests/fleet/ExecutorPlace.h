#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane::fleetrun {

/// @brief Where an executor runs and what it offers.
struct ExecutorPlace {
    std::string m_id;
    std::string m_machine;
    std::string m_service;
    std::string m_zone;
    std::string m_rack;
    std::string m_address;
    std::int64_t m_cpu = 0; ///< Thousandths of a core.
    std::int64_t m_memoryMb = 0;
    std::int64_t m_longestHoldMs = 0; ///< Longer leases are shortened to this.
    std::int64_t m_longestStopMs = 0;
};

} // namespace hemlockvane::fleetrun

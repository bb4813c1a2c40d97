#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Limits of the connections to one executor, counted over all entries.
struct SubsetLimits {
    std::uint32_t m_connections = 64; ///< Maximum number of connections to one executor.
    std::uint32_t m_slots = 8; ///< Slots of one executor.
    std::uint32_t m_entries = 24; ///< Maximum number of entries that connect to one executor.
    std::uint32_t m_joining = 4; ///< Allowance for entries that have joined but are not known to all others.
};

/// @brief Idle connections that an entry may keep to an executor in addition to one for each of its slots there.
///
/// The slots of all entries never add up to more than the executor's slots, so the connections of all entries together
/// stay within the limit, even while entries join.
/// @param entries entries that connect to the executor
inline auto spareConnections(const SubsetLimits& limits, std::uint32_t entries) -> std::uint32_t
{
    return (limits.m_connections - limits.m_slots) / (entries + limits.m_joining);
}

} // namespace hemlockvane

#pragma once

#include "hemlockvane/limits/CapacityChange.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Current and recent capacities of all resources, as folded by this instance.
struct CapacityHistory {
    std::map<std::string, std::vector<CapacityChange>, std::less<>> m_resources; ///< Oldest first.
};

/// @brief Sets the capacity in force from now on and erases capacities that ended before `now - window`.
auto setCapacity(
    CapacityHistory& history, std::string_view resource, std::uint32_t capacity, Instant now, Duration window) -> void;

/// @brief Capacity in force now.
/// @result permits, 0 for an unknown resource
auto capacityOf(const CapacityHistory& history, std::string_view resource) -> std::uint32_t;

/// @brief Largest capacity in force at any time since `from`.
auto peakCapacity(const CapacityHistory& history, std::string_view resource, Instant from) -> std::uint32_t;

} // namespace hemlockvane

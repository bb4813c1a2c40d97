#pragma once

#include "hemlockvane/detail/control/TrafficView.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief Follows the capacity of every escrowed resource: team limits and executor slots.
struct CapacityFollower {
    std::shared_ptr<const std::vector<ListedInstance>> m_listed;
    std::shared_ptr<const ConfigurationState> m_configuration;
    std::shared_ptr<const KeyState> m_keys;
    Instant m_nextAt; ///< Exceptions expire by the clock, so nothing changed is looked at again then.
    std::map<std::string, std::uint32_t, std::less<>> m_capacities; ///< By resource, as last told.
};

/// @brief Resources whose capacity changed since the last call, with the new one.
/// @complexity linear in teams and executors when anything changed, else constant
auto capacityChanges(CapacityFollower& follower, const TrafficView& view, Instant now, WallMillis wallNow)
    -> std::map<std::string, std::uint32_t, std::less<>>;

} // namespace hemlockvane::detail

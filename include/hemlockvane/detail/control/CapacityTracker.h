#pragma once

#include "hemlockvane/detail/control/TrafficView.h"
#include "hemlockvane/routing/SubsetLimits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::detail {

/// @brief Follows the capacity of every escrowed resource: team limits and executor slots.
struct CapacityTracker {
    std::shared_ptr<const std::vector<ListedInstance>> m_listed;
    std::shared_ptr<const ConfigurationState> m_configuration;
    std::shared_ptr<const KeyState> m_keys;
    Instant m_nextAt; ///< Exceptions expire by the clock, so nothing changed is looked at again then.
    std::map<std::string, std::uint32_t, std::less<>> m_capacities; ///< By resource, as last told.
    std::map<std::string, Instant, std::less<>> m_removedSince; ///< Resources of executors that left the list.
};

/// @brief Resources whose capacity changed since the last call, with the new one.
/// @complexity linear in teams and executors when anything changed, else constant
auto capacityChanges(CapacityTracker& tracker, const TrafficView& view, Instant now, WallMillis wallNow)
    -> std::map<std::string, std::uint32_t, std::less<>>;

/// @brief Forgets resources that have been gone for `age`, where nobody holds permits of them any more.
/// @param forget tries to forget one resource; true when it did
/// @complexity linear in the resources that are gone
auto forgetRemoved(
    CapacityTracker& tracker, Instant now, Duration age, const std::function<bool(std::string_view)>& forget) -> void;

/// @brief Bounds of the connections to each executor of a service, as configured.
auto subsetLimits(const ConfigurationState& configuration, std::string_view service, WallMillis now) -> SubsetLimits;

} // namespace hemlockvane::detail

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

/// @brief Tracks the capacity of every escrowed resource: the teams' upper limits and the slots of executors.
struct CapacityTracker {
    std::shared_ptr<const std::vector<ListedInstance>> m_listed;
    std::shared_ptr<const ConfigurationState> m_configuration;
    std::shared_ptr<const KeyState> m_keys;
    Instant m_nextAt; ///< Next check without a change of the inputs, since exceptions expire by the clock.
    std::map<std::string, std::uint32_t, std::less<>> m_capacities; ///< By resource, as last returned.
    std::map<std::string, Instant, std::less<>> m_removedSince; ///< Resources of executors that left the list.
};

/// @brief Returns the resources whose capacity changed since the last call, with their new capacity.
/// @complexity linear in teams and executors when anything changed, else constant
auto capacityChanges(CapacityTracker& tracker, const TrafficView& view, Instant now, WallMillis wallNow)
    -> std::map<std::string, std::uint32_t, std::less<>>;

/// @brief Erases resources that were removed at least `age` ago.
/// @param forget tries to erase a resource; false when permits of it are still held, so that it is tried again later
/// @complexity linear in the removed resources
auto forgetRemoved(
    CapacityTracker& tracker, Instant now, Duration age, const std::function<bool(std::string_view)>& forget) -> void;

/// @brief Configured limits of the connections to each executor of a service.
auto subsetLimits(const ConfigurationState& configuration, std::string_view service, WallMillis now) -> SubsetLimits;

} // namespace hemlockvane::detail

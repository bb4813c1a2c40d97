#include "hemlockvane/detail/control/CapacityTracker.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/limits/EscrowResource.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace {

constexpr Duration expiryCheckInterval { 1000 };

using Capacities = std::map<std::string, std::uint32_t, std::less<>>;

auto valueOf(const TrafficView& view, std::string_view setting, std::string_view scope, WallMillis now) -> std::uint32_t
{
    return static_cast<std::uint32_t>(effectiveValue(*view.m_configuration, setting, scope, now).m_value);
}

// Callers without a key, who can reach open queues only, share the limit of the team with the empty name.
auto currentCapacities(const TrafficView& view, WallMillis now) -> Capacities
{
    Capacities capacities;
    capacities[teamLimitResource("")] = valueOf(view, "team.limit", "", now);
    for (const auto& [id, key] : view.m_keys->m_keys)
        capacities[teamLimitResource(key.m_team)] = valueOf(view, "team.limit", key.m_team, now);
    if (!view.m_listed)
        return capacities;
    for (const auto& instance : *view.m_listed) {
        if (instance.m_kind == "executor")
            capacities[executorSlotsResource(instance.m_service, instance.m_id)]
                = instance.m_isLeaving ? 0 : valueOf(view, "service.slots", instance.m_service, now);
    }
    return capacities;
}

auto isCheckDue(const CapacityTracker& tracker, const TrafficView& view, Instant now) -> bool
{
    return tracker.m_listed != view.m_listed || tracker.m_configuration != view.m_configuration
        || tracker.m_keys != view.m_keys || now >= tracker.m_nextAt;
}

} // namespace

auto capacityChanges(CapacityTracker& tracker, const TrafficView& view, Instant now, WallMillis wallNow) -> Capacities
{
    Capacities changes;
    if (!isCheckDue(tracker, view, now))
        return changes;
    tracker.m_listed = view.m_listed;
    tracker.m_configuration = view.m_configuration;
    tracker.m_keys = view.m_keys;
    tracker.m_nextAt = now + expiryCheckInterval;
    auto current = currentCapacities(view, wallNow);
    for (const auto& [resource, capacity] : tracker.m_capacities) {
        if (current.contains(resource))
            continue;
        changes[resource] = 0;
        tracker.m_removedSince[resource] = now;
    }
    for (const auto& [resource, capacity] : current) {
        tracker.m_removedSince.erase(resource);
        const auto previous = tracker.m_capacities.find(resource);
        if (previous == tracker.m_capacities.end() || previous->second != capacity)
            changes[resource] = capacity;
    }
    tracker.m_capacities = std::move(current);
    return changes;
}

auto forgetRemoved(
    CapacityTracker& tracker, Instant now, Duration age, const std::function<bool(std::string_view)>& forget) -> void
{
    std::erase_if(
        tracker.m_removedSince, [&](const auto& gone) { return now - gone.second >= age && forget(gone.first); });
}

auto subsetLimits(const ConfigurationState& configuration, std::string_view service, WallMillis now) -> SubsetLimits
{
    SubsetLimits limits;
    const auto connections = effectiveValue(configuration, "service.connections", service, now).m_value;
    const auto slots = effectiveValue(configuration, "service.slots", service, now).m_value;
    limits.m_slots = static_cast<std::uint32_t>(slots);
    limits.m_connections = static_cast<std::uint32_t>(std::max(connections, slots));
    return limits;
}

} // namespace hemlockvane::detail

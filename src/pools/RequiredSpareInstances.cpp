#include "hemlockvane/pools/RequiredSpareInstances.h"

#include "hemlockvane/configuration/EffectiveValue.h"

#include <algorithm>

namespace hemlockvane {

namespace {

using CountByDomain = std::map<std::string_view, std::int64_t>;

// True when the buffer can be spread over the domains so that, for each domain, the spare instances outside it replace
// what the pools lack when it fails.
auto isBufferSufficient(const CountByDomain& shortage, std::int64_t buffer, std::int64_t waveWidth) -> bool
{
    std::int64_t placeable = 0;
    for (const auto& [domain, count] : shortage) {
        if (count > buffer - waveWidth)
            return false;
        placeable += buffer - waveWidth - count;
    }
    return placeable >= buffer || shortage.size() <= 1;
}

} // namespace

auto isSpare(const ConfigurationState& configuration, std::string_view pool, WallMillis now) -> bool
{
    return effectiveValue(configuration, "pool.spare", pool, now).m_value != 0;
}

auto requiredSpareInstances(
    const FleetState& fleet, const DemandByPool& demand, bool coverZones, std::int64_t waveWidth) -> std::int64_t
{
    std::map<std::string_view, CountByDomain> byPool;
    std::map<std::string_view, std::int64_t> available;
    CountByDomain shortage; // By domain: instances that the pools lack when it fails.
    for (const auto& [id, instance] : fleet.m_pools.m_instances) {
        const auto domain = std::string_view(coverZones ? instance.m_zone : instance.m_rack);
        shortage.try_emplace(domain, 0);
        if (isUnavailable(instance) || !demand.contains(instance.m_pool))
            continue;
        ++byPool[instance.m_pool][domain];
        ++available[instance.m_pool];
    }
    for (const auto& [pool, counts] : byPool) {
        const auto needed = demand.find(pool)->second;
        for (const auto& [domain, count] : counts)
            shortage[domain] += std::max<std::int64_t>(0, needed - (available[pool] - count));
    }
    auto buffer = waveWidth;
    while (!isBufferSufficient(shortage, buffer, waveWidth))
        ++buffer;
    return buffer;
}

} // namespace hemlockvane

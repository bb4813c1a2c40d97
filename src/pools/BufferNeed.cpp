#include "hemlockvane/pools/BufferNeed.h"

#include "hemlockvane/configuration/EffectiveValue.h"

#include <algorithm>

namespace hemlockvane {

namespace {

using CountByDomain = std::map<std::string_view, std::int64_t>;

} // namespace

auto isSpare(const ConfigurationState& configuration, std::string_view pool, WallMillis now) -> bool
{
    return effectiveValue(configuration, "pool.spare", pool, now).m_value != 0;
}

auto sharedBuffer(const FleetState& fleet, const DemandByPool& demand, bool coverZones, std::int64_t waveWidth,
    WallMillis now) -> std::int64_t
{
    std::map<std::string_view, CountByDomain> byPool;
    CountByDomain spare;
    std::map<std::string_view, std::int64_t> available;
    std::map<std::string_view, bool> spareByPool;
    for (const auto& [id, instance] : fleet.m_pools.m_instances) {
        if (isUnavailable(instance))
            continue;
        const auto domain = std::string_view(coverZones ? instance.m_zone : instance.m_rack);
        const auto [known, isNew] = spareByPool.try_emplace(instance.m_pool, false);
        if (isNew)
            known->second = isSpare(fleet.m_configuration, instance.m_pool, now);
        if (known->second) {
            ++spare[domain];
            continue;
        }
        ++byPool[instance.m_pool][domain];
        ++available[instance.m_pool];
    }
    CountByDomain missing = spare; // Spare instances of a failed domain can't help.
    for (const auto& [pool, counts] : byPool) {
        const auto wanted = demand.find(pool);
        const auto needed = wanted == demand.end() ? 0 : wanted->second;
        for (const auto& [domain, count] : counts)
            missing[domain] += std::max<std::int64_t>(0, needed - (available[pool] - count));
    }
    std::int64_t worst = 0;
    for (const auto& [domain, count] : missing)
        worst = std::max(worst, count);
    return worst + waveWidth;
}

} // namespace hemlockvane

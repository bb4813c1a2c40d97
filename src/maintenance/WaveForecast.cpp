#include "hemlockvane/maintenance/WaveForecast.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/maintenance/PoolBudget.h"

#include <algorithm>
#include <map>

namespace hemlockvane {

namespace {

constexpr WallMillis millisPerSecond = 1000;

auto remainingByPool(const FleetState& fleet, const WaveRecord& wave) -> std::map<std::string, std::size_t>
{
    std::map<std::string, std::size_t> remaining;
    for (const auto& [id, instance] : fleet.m_pools.m_instances) {
        if (includesPool(wave, instance.m_pool) && !wave.m_done.contains(id) && instance.m_available)
            ++remaining[instance.m_pool];
    }
    return remaining;
}

// Number of concurrent drains that a pool's budget allows in addition to its failed instances.
auto widthOf(const FleetState& fleet, const std::string& pool, WallMillis now) -> std::int64_t
{
    std::int64_t draining = 0;
    for (const auto& [id, instance] : fleet.m_pools.m_instances)
        draining += instance.m_pool == pool && instance.m_available && !instance.m_drainingFor.empty() ? 1 : 0;
    return draining + budgetLeft(fleet, pool, countsOf(fleet, pool), now);
}

} // namespace

auto expectedDrainTime(const FleetState& fleet, const WavePlanState& state, WallMillis now) -> WallMillis
{
    if (state.m_meanDrainMs > 0)
        return static_cast<WallMillis>(state.m_meanDrainMs);
    return effectiveValue(fleet.m_configuration, "wave.drain_s", "", now).m_value * millisPerSecond;
}

auto forecastWave(const FleetState& fleet, const WavePlanState& state, const WaveRecord& wave, WallMillis now)
    -> WaveForecast
{
    WaveForecast forecast;
    const auto drain = expectedDrainTime(fleet, state, now);
    auto blocked = false;
    for (const auto& [pool, remaining] : remainingByPool(fleet, wave)) {
        forecast.m_remaining += remaining;
        const auto width = widthOf(fleet, pool, now);
        if (width <= 0) {
            blocked = true;
            forecast.m_slowestPool = pool;
            continue;
        }
        const auto rounds = (static_cast<std::int64_t>(remaining) + width - 1) / width;
        if (blocked || now + rounds * drain <= forecast.m_endsAt)
            continue;
        forecast.m_endsAt = now + rounds * drain;
        forecast.m_slowestPool = pool;
    }
    if (blocked)
        forecast.m_endsAt = 0;
    return forecast;
}

} // namespace hemlockvane

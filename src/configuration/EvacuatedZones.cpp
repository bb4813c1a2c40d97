#include "hemlockvane/configuration/EvacuatedZones.h"

#include "hemlockvane/configuration/EffectiveValue.h"

namespace hemlockvane {

namespace {

const std::string setting = "zone.evacuated";

} // namespace

auto evacuatedZones(const ConfigurationState& state, WallMillis now) -> std::set<std::string, std::less<>>
{
    std::set<std::string, std::less<>> zones;
    for (auto item = state.m_exceptions.lower_bound({ setting, "" });
         item != state.m_exceptions.end() && item->first.first == setting; ++item) {
        const auto& zone = item->first.second;
        if (effectiveValue(state, setting, zone, now).m_value != 0)
            zones.insert(zone);
    }
    return zones;
}

} // namespace hemlockvane

#pragma once

#include "hemlockvane/log/FleetState.h"

#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane {

/// @brief Demand of each pool in instances.
using DemandByPool = std::map<std::string, std::int64_t, std::less<>>;

/// @brief True for a pool that is drawn on first and runs no jobs.
auto isSpare(const ConfigurationState& configuration, std::string_view pool, WallMillis now) -> bool;

/// @brief Instances that the spare pools must hold so that, when the worst failure domain fails while a wave runs,
/// every pool's demand can still be met.
///
/// One domain fails at a time, so pools whose instances are in different domains share the same buffer.
/// @param coverZones the domain is a zone, else a rack
/// @param waveWidth instances that the wave takes out of use at once
/// @complexity linear in the instances
auto sharedBuffer(const FleetState& fleet, const DemandByPool& demand, bool coverZones, std::int64_t waveWidth,
    WallMillis now) -> std::int64_t;

} // namespace hemlockvane

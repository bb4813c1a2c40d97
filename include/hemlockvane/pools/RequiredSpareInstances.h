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
/// One domain fails at a time, so pools whose instances are in different domains share the same buffer, which itself is
/// spread so that what is outside the failed domain suffices. With a single domain only what it lacks and the wave
/// count.
/// @param demand of the pools to cover; others, the spare pools among them, are left out
/// @param coverZones the domain is a zone, else a rack
/// @param waveWidth instances that the wave takes out of use at once
/// @complexity linear in the instances, and domains times the result
auto requiredSpareInstances(
    const FleetState& fleet, const DemandByPool& demand, bool coverZones, std::int64_t waveWidth) -> std::int64_t;

} // namespace hemlockvane

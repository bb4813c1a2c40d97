#pragma once

#include "hemlockvane/log/FleetState.h"

#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane {

/// @brief Demand by pool, in instances.
using DemandByPool = std::map<std::string, std::int64_t, std::less<>>;

/// @brief True for a spare pool (`pool.spare`): it runs no jobs, and other pools are filled from it first.
auto isSpare(const ConfigurationState& configuration, std::string_view pool, WallMillis now) -> bool;

/// @brief Number of instances that the spare pools must hold together so that every pool's demand is met when any one
/// failure domain fails while a wave runs.
///
/// One domain is assumed to fail at a time, so pools with instances in different domains share one buffer. The spare
/// instances are in failure domains too: they must be spread so that those outside the failed domain suffice. With a
/// single domain, only its shortage and the wave count.
/// @param demand of the pools to protect; all other pools, including spare ones, are left out
/// @param coverZones true: the failure domain is a zone; false: a rack
/// @param waveWidth number of instances that the wave takes out of use at a time
/// @complexity linear in the instances, and domains times the result
auto requiredSpareInstances(
    const FleetState& fleet, const DemandByPool& demand, bool coverZones, std::int64_t waveWidth) -> std::int64_t;

} // namespace hemlockvane

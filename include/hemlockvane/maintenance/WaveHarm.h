#pragma once

#include "hemlockvane/maintenance/WaveRecord.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

struct FleetState;

/// @brief Instances that a wave seems to have lost: they did not come back, or failed after their maintenance.
///
/// An instance is left out when its rack or zone failed as a whole, which shows by at least half of the domain's
/// instances that the wave has not touched being failed as well.
/// @complexity linear in the instances
auto harmOf(const FleetState& state, const WaveRecord& wave) -> std::vector<std::string_view>;

} // namespace hemlockvane

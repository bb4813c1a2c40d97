#pragma once

#include "hemlockvane/maintenance/WaveRecord.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

struct FleetState;

/// @brief Instances that a wave seems to have lost: they did not come back, or failed after their maintenance.
///
/// An instance is left out when its rack or zone failed as a whole: most of the domain is failed, and so is at least
/// half of what the wave has not touched there. Where the wave was through with a domain, one wholly lost domain is
/// left out as well, a second one is not.
/// @complexity linear in the instances
auto findLostInstances(const FleetState& state, const WaveRecord& wave) -> std::vector<std::string_view>;

} // namespace hemlockvane

#pragma once

#include "hemlockvane/maintenance/WaveRecord.h"

#include <string_view>
#include <vector>

namespace hemlockvane {

struct FleetState;

/// @brief Finds the instances whose loss is attributed to a wave: they did not return from their maintenance, or failed
/// after it.
///
/// Instances in a rack or zone that failed as a whole are not attributed to the wave. A domain counts as failed when
/// most of its instances are failed, among them at least half of those that the wave has not processed yet. If the wave
/// has processed every instance of a domain and all of them are failed, the domain counts as failed too, but only while
/// there is no second such domain.
/// @complexity linear in the instances
auto findLostInstances(const FleetState& state, const WaveRecord& wave) -> std::vector<std::string_view>;

} // namespace hemlockvane

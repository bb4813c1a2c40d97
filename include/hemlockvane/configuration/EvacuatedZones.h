#pragma once

#include "hemlockvane/configuration/ConfigurationState.h"

#include <set>
#include <string>

namespace hemlockvane {

/// @brief Availability zones to which nothing new may be sent: those with an exception of `zone.evacuated` in force.
/// @param now wall clock that decides whether an exception has expired
[[nodiscard]] auto evacuatedZones(const ConfigurationState& state, WallMillis now)
    -> std::set<std::string, std::less<>>;

} // namespace hemlockvane

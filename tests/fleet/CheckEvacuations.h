#pragma once

#include "Evacuation.h"
#include "StartedRun.h"

#include <span>
#include <string>
#include <vector>

namespace hemlockvane::fleetrun {

/// @brief Checks the rule EVAC of the users' pages: an instance in touch starts no task in a zone that has been
/// evacuated for `evacuateMs`.
/// @result a line for each violation
auto findInEvacuatedZones(std::span<const StartedRun> runs, std::span<const Evacuation> evacuations)
    -> std::vector<std::string>;

} // namespace hemlockvane::fleetrun

#pragma once

#include "StartedRun.h"

#include <span>
#include <string>
#include <vector>

namespace hemlockvane::fleetrun {

/// @brief Checks the rule TWICE of the users' pages.
/// @param runs in the order of their starts
/// @param now end of the runs that are still going on
/// @result a line for each violation
auto findTwice(std::span<const StartedRun> runs, std::int64_t now) -> std::vector<std::string>;

} // namespace hemlockvane::fleetrun

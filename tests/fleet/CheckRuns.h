#pragma once

#include "StartedRun.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace hemlockvane::fleetrun {

using TimeByJob = std::map<std::string, std::int64_t, std::less<>>;

/// @brief Checks the rule TWICE of the users' pages.
/// @param runs in the order of their starts
/// @param completedAt when each job was first shown as completed
/// @param now end of the runs that are still going on
/// @result a line for each violation
auto findTwice(std::span<const StartedRun> runs, const TimeByJob& completedAt, std::int64_t now)
    -> std::vector<std::string>;

/// @result the run in one line, in the form of the users' records
[[nodiscard]] auto describe(const StartedRun& run) -> std::string;

} // namespace hemlockvane::fleetrun

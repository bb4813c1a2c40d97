#pragma once

#include "StartedRun.h"
#include "TimeSpan.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::fleetrun {

constexpr std::int64_t restartMs = 6000; ///< A task that lasts may be without a run for this long,
constexpr std::int64_t missingMs = 3000; ///< and then for less than this,
constexpr std::int64_t calmMs = 4000; ///< if all this time and this one before it were calm.
constexpr std::int64_t longestMissingMs = restartMs + missingMs + calmMs;

/// @brief Finds breaches of LOST for tasks that last: nothing of the task runs for `missingMs`, from `restartMs` after
/// its last run or its acceptance, and these and the `calmMs` before them are without disruption. How full the service
/// is makes no difference.
/// @param runs all runs of the task, in the order of their starts
/// @param disruptions in the order of time, without overlaps
/// @param until end of the play
/// @result one line a breach
[[nodiscard]] auto findMissing(std::string_view task, std::span<const StartedRun> runs, std::int64_t acceptedAt,
    std::span<const TimeSpan> disruptions, std::int64_t until) -> std::vector<std::string>;

} // namespace hemlockvane::fleetrun

#pragma once

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

struct Scheduler;

/// @brief Starts waiting tasks wherever they fit; answers the load of a queue that asks for more than its pool holds.
///
/// Lasting tasks come first, then jobs that can still meet their objective, the earliest first, then the others.
/// @param actions receives starts and questions to the advice service
auto planStarts(Scheduler& scheduler, Instant now, WallMillis wall, std::vector<Action>& actions) -> void;

/// @brief Applies the advice service's answer.
/// @param tickets id of each executor that may run the step, with its ticket; empty: ask again later
auto applyAdvice(Scheduler& scheduler, const TaskKey& step, std::map<std::string, std::string> tickets,
    Duration validFor, Instant now) -> void;

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string_view>

namespace hemlockvane::scheduling {

struct Action;
struct Scheduler;

/// @brief Checks a planned start against the present state.
/// @param start a start whose run was added when it was planned
/// @param startedAtMs start time of the executor's life that it was planned for
/// @result why it must not be sent any more; empty if it may be sent
auto obstacleToStart(Scheduler& scheduler, const Action& start, std::int64_t startedAtMs, Instant now)
    -> std::string_view;

} // namespace hemlockvane::scheduling

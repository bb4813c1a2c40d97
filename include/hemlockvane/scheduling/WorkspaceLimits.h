#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

struct Resources;
struct Scheduler;

/// @brief Whether a workspace may start a number of further tasks without exceeding its limit over all executors.
[[nodiscard]] auto isWithinLimit(
    const Scheduler& scheduler, const std::string& workspace, const Resources& need, std::uint32_t tasks) -> bool;

} // namespace hemlockvane::scheduling

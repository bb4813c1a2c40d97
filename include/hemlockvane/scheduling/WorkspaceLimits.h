#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

struct Resources;
struct Scheduler;

/// @brief Whether a workspace may start a number of further tasks without exceeding its limit over all executors.
[[nodiscard]] auto isWithinLimit(
    const Scheduler& scheduler, const std::string& workspace, const Resources& need, std::uint32_t tasks) -> bool;

/// @brief What a workspace may still use of its limit over all executors; negative where it uses more.
[[nodiscard]] auto freeWithinLimit(const Scheduler& scheduler, const std::string& workspace) -> Resources;

/// @brief Number of tasks, of those given, that fit into what is free.
[[nodiscard]] auto tasksWithin(const Resources& free, const Resources& need, std::uint32_t tasks) -> std::uint32_t;

} // namespace hemlockvane::scheduling

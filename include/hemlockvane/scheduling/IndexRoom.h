#pragma once

#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace hemlockvane::scheduling {

struct Scheduler;
struct StartPool;

/// @brief Index of a service's pool, which is added if it does not exist yet.
auto poolIndex(Scheduler& scheduler, std::string_view service, Instant now) -> std::size_t;

/// @brief Brings the pools up to date with all active executors. Jobs with runs on executors that became unresponsive
/// or responsive are marked as changed.
auto refreshPools(Scheduler& scheduler, Instant now) -> void;

/// @brief Brings its pool up to date with one executor.
auto refreshExecutor(Scheduler& scheduler, ExecutorIndex index, Instant now) -> void;

/// @brief Removes a retired executor from its pool.
auto removeFromPool(Scheduler& scheduler, ExecutorIndex index) -> void;

/// @brief Largest amount of processor that is free on one open executor of a pool.
/// @result millicores; below any need when no executor is open
[[nodiscard]] auto largestFreeCpu(StartPool& pool) -> std::int64_t;

/// @brief Open executors of a pool in the order of their activation.
[[nodiscard]] auto openExecutors(const Scheduler& scheduler, std::size_t pool) -> std::vector<ExecutorIndex>;

} // namespace hemlockvane::scheduling

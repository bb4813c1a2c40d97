#pragma once

#include "hemlockvane/scheduling/ExecutorRoom.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief Executors of a service on which tasks may be started.
struct StartPool {
    std::string m_service;
    bool m_isCapacityKnown = false; ///< See `isCapacityKnown`.
    std::size_t m_openExecutors = 0; ///< Without those on which a task is on trial.
    std::size_t m_trials = 0; ///< Executors on which a task is on trial.
    std::map<std::int64_t, std::vector<ExecutorRoom>> m_rooms; ///< Open executors by processor capacity, in order.
    std::uint64_t m_version = 1; ///< Rises whenever an executor may hold a task that it could not hold before.
    std::optional<std::int64_t> m_largestFreeCpu; ///< Of one open executor, millicores; empty: to be computed.
};

} // namespace hemlockvane::scheduling

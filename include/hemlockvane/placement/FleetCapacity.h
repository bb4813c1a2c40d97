#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/placement/PlacementState.h"
#include "hemlockvane/placement/WorkerCapacity.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Every worker's room, in the order of ids.
struct FleetCapacity {
    std::vector<WorkerCapacity> m_workers;
    std::map<std::string_view, std::size_t> m_indexById;
    std::map<std::string_view, std::vector<std::size_t>> m_byPool;
    std::map<std::string_view, std::size_t> m_zones; ///< Index of each.
    std::map<std::string_view, std::size_t> m_racks;
};

/// @brief Capacity of an instance.
auto capacityOf(const InstanceRecord& instance) -> ResourceSize;

/// @brief Size that a job declared.
auto declaredSize(const JobRecord& job) -> ResourceSize;

/// @brief Size that a waiting job is expected to need, learned from its team's jobs in its queue.
auto expectedSize(const PlacementState& state, const JobRecord& job) -> ResourceSize;

/// @brief Size that a running job takes: what was measured, once it was, else what is expected.
auto runningSize(const PlacementState& state, std::string_view id, const JobRecord& job) -> ResourceSize;

/// @brief Builds the room of all workers.
/// @complexity linear in workers and running jobs, times a logarithm
auto buildFleetCapacity(const FleetState& fleet, const PlacementState& state, Instant now, WallMillis wallNow)
    -> FleetCapacity;

/// @brief True when some instance of the fleet, whatever its state, can hold the declared size.
/// @param reason receives NeverRunnable and the largest worker
/// @complexity linear in the instances
auto isRunnable(const PoolState& pools, const ResourceSize& declared, FailureReason& reason) -> bool;

} // namespace hemlockvane

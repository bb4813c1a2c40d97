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

/// @brief Capacity and current use of every worker, ordered by worker id.
struct FleetCapacity {
    std::vector<WorkerCapacity> m_workers;
    std::map<std::string_view, std::size_t> m_indexById;
    std::map<std::string_view, std::vector<std::size_t>> m_byPool;
    std::map<std::string_view, std::size_t> m_zones; ///< Zone name to its index.
    std::map<std::string_view, std::size_t> m_racks; ///< Rack name to its index.
};

/// @brief Total capacity of an instance.
auto capacityOf(const InstanceRecord& instance) -> ResourceSize;

/// @brief Resources that a job declared at submission.
auto declaredSize(const JobRecord& job) -> ResourceSize;

/// @brief Resources that a waiting job is expected to need, estimated from earlier jobs of the same team and queue.
auto expectedSize(const PlacementState& state, const JobRecord& job) -> ResourceSize;

/// @brief Resources accounted to a running job: per resource the larger of the expected size and the measured peak.
auto runningSize(const PlacementState& state, std::string_view id, const JobRecord& job) -> ResourceSize;

/// @brief Computes capacity and current use of all workers, including placements that are not yet recorded.
/// @complexity linear in workers and running jobs, times a logarithm
auto buildFleetCapacity(const FleetState& fleet, const PlacementState& state, Instant now, WallMillis wallNow)
    -> FleetCapacity;

/// @brief True when the total capacity of at least one instance, in any state, covers the declared size.
/// @param reason receives NeverRunnable and the size of the largest worker otherwise
/// @complexity linear in the instances
auto isRunnable(const PoolState& pools, const ResourceSize& declared, FailureReason& reason) -> bool;

} // namespace hemlockvane

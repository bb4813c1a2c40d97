#pragma once

#include "hemlockvane/placement/ResourceSize.h"
#include "hemlockvane/pools/InstanceRecord.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief Capacity, current use and eligibility of one worker within a plan.
struct WorkerCapacity {
    std::string_view m_id;
    const InstanceRecord* m_instance = nullptr;
    ResourceSize m_capacity;
    ResourceSize m_free; ///< Negative when the worker is overcommitted.
    std::size_t m_zone = 0; ///< Index in FleetCapacity::m_zones.
    std::size_t m_rack = 0; ///< Index in FleetCapacity::m_racks.
    bool m_acceptsJobs = false; ///< True when new jobs may be placed on it.
    bool m_suspect = false; ///< True when only repeatable jobs may be placed on it.
    std::vector<std::string_view> m_tasks; ///< Running tasks and placements in flight.
};

} // namespace hemlockvane

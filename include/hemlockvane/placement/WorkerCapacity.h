#pragma once

#include "hemlockvane/placement/ResourceSize.h"
#include "hemlockvane/pools/InstanceRecord.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief One worker as a plan sees it.
struct WorkerCapacity {
    std::string_view m_id;
    const InstanceRecord* m_instance = nullptr;
    ResourceSize m_capacity;
    ResourceSize m_free; ///< Negative where the worker is over-used.
    std::size_t m_zone = 0; ///< Index of its zone in the plan.
    std::size_t m_rack = 0;
    bool m_acceptsJobs = false; ///< Takes new jobs.
    bool m_suspect = false; ///< Takes repeatable jobs only.
    std::vector<std::string_view> m_tasks; ///< Running and being placed.
};

} // namespace hemlockvane

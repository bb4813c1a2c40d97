#pragma once

#include "hemlockvane/scheduling/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief An executor's entry in the registry, as it reports itself.
struct ExecutorEntry {
    std::string m_id;
    std::int64_t m_startedAtMs = 0; ///< Unix time of its start; id and start time identify one incarnation.
    std::string m_service;
    std::string m_address;
    std::string m_zone;
    std::string m_machine; ///< Machine that it is a life of; empty if it does not say so.
    bool m_isDraining = false;
    std::int64_t m_remainingMs = 0; ///< While draining: minimum time left until it stops.
    std::int64_t m_remainingColdMs = 0; ///< How much longer it is slow after its start.
    Resources m_capacity;
    std::vector<std::string> m_labels; ///< The kind, then the rack.

    auto operator==(const ExecutorEntry&) const -> bool = default;
};

} // namespace hemlockvane::scheduling

#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

/// @brief Share that a workspace has of a pool which cannot hold all waiting tasks. Amounts are in millicores of the
/// scarcer resource: memory counts as the processor that the pool has for each MB. Long-running tasks are left out.
struct PoolShare {
    std::string m_workspace;
    double m_weight = 1;
    std::int64_t m_used = 0; ///< Of its running tasks.
    std::int64_t m_waiting = 0; ///< Of its tasks that wait for room.
    double m_share = 0; ///< Weighted max-min fair.
};

} // namespace hemlockvane::scheduling

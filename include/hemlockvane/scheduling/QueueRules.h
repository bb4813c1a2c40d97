#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

/// @brief One queue as configured.
struct QueueRules {
    std::string m_service; ///< Service whose executors run the queue's tasks.
    std::int32_t m_priority = 0; ///< 0 comes first.
    std::uint32_t m_maximumAttempts = 1; ///< Runs of a task that may end failed.
    double m_stretch = 1; ///< Objective: this times the longest chain, plus `m_latencyTargetMs`.
    std::int64_t m_latencyTargetMs = 0;
    bool m_needsAdvice = false; ///< Only executors that the advice service names may run a step.
};

} // namespace hemlockvane::scheduling

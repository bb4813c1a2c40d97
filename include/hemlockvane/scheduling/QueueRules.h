#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

/// @brief One queue as configured.
struct QueueRules {
    std::string m_service; ///< Service whose executors run the queue's tasks.
    std::int32_t m_priority = 0; ///< 0 is the highest.
    std::uint32_t m_maximumAttempts = 0; ///< Failed runs of a task after which its job fails; 0: not known.
    double m_stretch = 1; ///< A job's objective is this times its critical path, plus `m_latencyTargetMs`.
    std::int64_t m_latencyTargetMs = 0;
    bool m_needsAdvice = false; ///< Only executors approved by the advice service may run a step.

    auto operator==(const QueueRules&) const -> bool = default;
};

} // namespace hemlockvane::scheduling

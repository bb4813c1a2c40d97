#include "hemlockvane/detail/coordinator/LeaseDeadline.h"

#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/scheduling/ExecutorClock.h"

#include <algorithm>

namespace hemlockvane::detail {

auto leaseDeadline(const CoordinatorState& state, const scheduling::Executor& executor, Instant now)
    -> std::optional<std::int64_t>
{
    if (executor.m_clockMs == 0 || executor.m_isUnresponsive)
        return std::nullopt;
    const auto remaining = state.m_ports.m_renewedAt() + state.m_ports.m_longestLease - now;
    const auto lease = std::min(state.m_scheduler.m_timing.m_lease, remaining);
    if (lease <= Duration { 0 })
        return std::nullopt;
    return scheduling::clockLowerBound(executor, now) + lease.count();
}

} // namespace hemlockvane::detail

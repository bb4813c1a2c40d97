#include "hemlockvane/detail/coordinator/ReportShares.h"

#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/placement/ResourceSize.h"
#include "hemlockvane/scheduling/ShareRoom.h"

#include <string>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t mostLines = 10; // In one call.

auto setGauge(CoordinatorState& state, std::string_view name, const std::string& service,
    const scheduling::PoolShare& share, double milliCores) -> void
{
    state.m_ports.m_metrics->gauge(
        std::string(name) + "{pool=\"" + service + "\",workspace=\"" + share.m_workspace + "\"}",
        milliCores / milliPerCore);
}

} // namespace

auto reportShares(CoordinatorState& state) -> void
{
    std::size_t lines = 0;
    for (const auto& pool : state.m_scheduler.m_contendedPools) {
        for (const auto& share : pool.m_shares) {
            if (scheduling::hasShareLeft(&share) || share.m_waiting == 0 || ++lines > mostLines)
                continue;
            logOf("jobs").info("event=share_used pool={} workspace={} weight={} share_m={} used_m={} waiting_m={}",
                pool.m_service, share.m_workspace, share.m_weight, static_cast<std::int64_t>(share.m_share),
                share.m_used, share.m_waiting);
            setGauge(state, "workspace_share_cores", pool.m_service, share, share.m_share);
            setGauge(state, "workspace_used_cores", pool.m_service, share, static_cast<double>(share.m_used));
        }
    }
}

} // namespace hemlockvane::detail

#include "hemlockvane/detail/coordinator/ReportInterference.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/interference/MeasureInterference.h"

#include <string>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t mostLines = 10; // In one call.

} // namespace

auto reportInterference(CoordinatorState& state) -> void
{
    std::size_t lines = 0;
    for (const auto& change : interference::judge(state.m_scheduler.m_interference, monotonicNow())) {
        const auto& [pair, verdict] = change;
        state.m_ports.m_metrics->gauge(
            "interference_ratio{affected=\"" + pair.m_affected + "\",other=\"" + pair.m_other + "\"}", verdict.m_ratio);
        if (++lines <= mostLines)
            logOf("jobs").info("event=interference affected={} other={} ratio={:.2f} confidence={:.2f} samples={:.0f}",
                pair.m_affected, pair.m_other, verdict.m_ratio, verdict.m_confidence, verdict.m_samples);
    }
}

} // namespace hemlockvane::detail

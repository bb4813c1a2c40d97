#include "hemlockvane/detail/coordinator/ReportZones.h"

#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/metrics/Metrics.h"

#include <algorithm>
#include <cstddef>
#include <string>

namespace hemlockvane::detail {

namespace {

struct ZoneRest {
    std::size_t m_runs = 0;
    std::size_t m_activeLongRunningRuns = 0;
    std::size_t m_machines = 0; // In pools that are not spare.
};

auto measureRest(const CoordinatorState& state, const std::string& zone) -> ZoneRest
{
    ZoneRest rest;
    const auto& scheduler = state.m_scheduler;
    for (const auto index : scheduler.m_activeExecutors) {
        const auto& executor = *scheduler.m_executors[index];
        if (executor.m_entry.m_zone != zone)
            continue;
        rest.m_runs += executor.m_runs.size();
        rest.m_activeLongRunningRuns += executor.m_activeLongRunningRuns;
    }
    const auto& machines = state.m_fleet.m_machines.m_newest.m_machines;
    rest.m_machines
        = static_cast<std::size_t>(std::count_if(machines.begin(), machines.end(), [&](const fleet::Machine& machine) {
              return machine.m_zone == zone && !scheduler.m_rules.m_spareServices.contains(machine.m_pool);
          }));
    return rest;
}

auto setGauges(CoordinatorState& state, const std::string& zone, bool isEvacuated, std::size_t runs) -> void
{
    const auto label = "{zone=\"" + zone + "\"}";
    state.m_ports.m_metrics->gauge("zone_evacuated" + label, isEvacuated ? 1 : 0);
    state.m_ports.m_metrics->gauge("zone_runs" + label, static_cast<double>(runs));
}

} // namespace

auto reportZones(CoordinatorState& state) -> void
{
    const auto& evacuated = state.m_scheduler.m_rules.m_evacuatedZones;
    for (const auto& zone : evacuated) {
        const auto rest = measureRest(state, zone);
        logOf("fleet").info("event=zone zone={} runs={} long_running={} machines={}", zone, rest.m_runs,
            rest.m_activeLongRunningRuns, rest.m_machines);
        setGauges(state, zone, true, rest.m_runs);
    }
    for (const auto& zone : state.m_reportedZones) {
        if (!evacuated.contains(zone))
            setGauges(state, zone, false, 0);
    }
    state.m_reportedZones = evacuated;
}

} // namespace hemlockvane::detail

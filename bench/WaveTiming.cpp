#include "PlacementSimulation.h"

#include "hemlockvane/maintenance.h"

#include <algorithm>
#include <chrono>

namespace hemlockvane::bench {

namespace {

constexpr std::uint32_t timedPlans = 20;
constexpr std::uint32_t workersInPool = 11;

} // namespace

auto timeWave(std::uint32_t workers) -> double
{
    const FleetShape shape { "timed", workers, 32, 128 * 1024, std::max(2U, workers / workersInPool), 14 };
    SimulatedFleet fleet(shape);
    fleet.changeSetting("pool.budget", "", 2);
    wire::Operation start;
    start.mutable_start_wave()->set_wave("wave");
    start.mutable_start_wave()->set_reason("bench");
    fleet.fold(start);
    WaveInput input;
    input.m_now = fleet.m_now;
    input.m_mayAct = true;
    for (const auto& [id, instance] : fleet.m_state.m_pools.m_instances)
        input.m_health[id] = { true, false };
    std::chrono::steady_clock::duration total {};
    for (std::uint32_t i = 0; i < timedPlans; ++i) {
        WavePlanState state;
        const auto begin = std::chrono::steady_clock::now();
        planWave(fleet.m_state, state, input);
        total += std::chrono::steady_clock::now() - begin;
    }
    return std::chrono::duration<double, std::milli>(total).count() / timedPlans;
}

} // namespace hemlockvane::bench

#include "MoveSimulation.h"

#include "hemlockvane/pools.h"

#include <algorithm>
#include <map>
#include <random>
#include <tuple>

namespace hemlockvane::bench {

namespace {

constexpr WallMillis tick = 5'000;
constexpr WallMillis day = 24LL * 3'600'000;
constexpr WallMillis hour = 3'600'000;
constexpr WallMillis spikeInterval = 300'000;
constexpr WallMillis spikeDuration = 20'000;
constexpr WallMillis dropDuration = 120'000;
constexpr WallMillis shiftStartInHour = 1'200'000; // From the start of each hour.
constexpr double spikeFactor = 5;
constexpr double dropFactor = 0.05;
constexpr double shiftFactor = 2;
constexpr double meanLoad = 0.7; // Fraction of a pool's initial size.
constexpr double noise = 0.1;
constexpr double millisPerHour = 3'600'000;

struct MoveSimulation {
    const FleetShape& m_shape;
    DemandTrace m_trace;
    SimulatedFleet m_fleet;
    std::mt19937_64 m_random;
    std::map<std::string, std::int64_t> m_initialSize;
    std::map<std::string, std::int64_t> m_sustainedDemand; // Demand without spikes, by pool.
    std::map<std::string, std::int64_t> m_peakShortage; // Largest shortage without noise, spikes and drops, by pool.
    MoveInput m_input;
    MoveResult m_result;
};

// Returns three factors on a pool's mean demand: in full; without spikes; without noise, spikes and drops.
auto demandFactors(MoveSimulation& run, std::uint32_t pool, WallMillis at) -> std::tuple<double, double, double>
{
    std::uniform_real_distribution<double> noiseFactor(1 - noise, 1 + noise);
    auto factor = noiseFactor(run.m_random);
    const auto isShifted = run.m_trace == DemandTrace::Shift && at / hour % (run.m_shape.m_pools - 1) == pool - 1
        && at % hour >= shiftStartInHour;
    const auto steady = isShifted ? shiftFactor : 1;
    factor *= steady;
    const auto sustained = factor;
    const auto isSpiking = at / spikeInterval % (run.m_shape.m_pools - 1) == pool - 1;
    if (run.m_trace == DemandTrace::Calm || !isSpiking)
        return { factor, sustained, steady };
    if (at % spikeInterval < spikeDuration)
        return { factor * spikeFactor, sustained, steady };
    if (at % spikeInterval < spikeDuration + dropDuration)
        return { factor * dropFactor, factor * dropFactor, steady };
    return { factor, sustained, steady };
}

auto updateDemand(MoveSimulation& run, WallMillis at) -> void
{
    for (std::uint32_t pool = 1; pool < run.m_shape.m_pools; ++pool) {
        const auto name = poolName(pool);
        const auto mean = meanLoad * static_cast<double>(run.m_initialSize[name]);
        const auto [now, sustained, steady] = demandFactors(run, pool, at);
        run.m_input.m_demand[name] = static_cast<std::int64_t>(mean * now + noise);
        run.m_sustainedDemand[name] = static_cast<std::int64_t>(mean * sustained + noise);
        auto& peakShortage = run.m_peakShortage[name];
        peakShortage = std::max(peakShortage, static_cast<std::int64_t>(mean * steady) - run.m_initialSize[name]);
        const auto size = static_cast<std::int64_t>(sizeOf(run.m_fleet.m_state.m_pools, name));
        const auto sustainedShortage = std::max<std::int64_t>(0, run.m_sustainedDemand[name] - size);
        run.m_result.m_shortageHours += static_cast<double>(sustainedShortage * tick) / millisPerHour;
    }
    run.m_input.m_now = run.m_fleet.m_now;
    run.m_input.m_mayAct = true;
}

auto moveInstance(MoveSimulation& run, const std::string& instance, const std::string& to) -> bool
{
    wire::Operation operation;
    operation.mutable_move_instance()->set_instance(instance);
    operation.mutable_move_instance()->set_from_pool(run.m_fleet.m_state.m_pools.m_instances.at(instance).m_pool);
    operation.mutable_move_instance()->set_to_pool(to);
    const auto accepted = run.m_fleet.fold(operation).m_error == ErrorKind::None;
    run.m_result.m_moves += accepted ? 1 : 0;
    return accepted;
}

auto anyInstanceOf(const MoveSimulation& run, const std::string& pool) -> std::string
{
    for (const auto& [id, instance] : run.m_fleet.m_state.m_pools.m_instances) {
        if (instance.m_pool == pool)
            return id;
    }
    return {};
}

// The baseline: returns every unused instance to the spare pool, then fills every shortage from it.
auto stepImmediate(MoveSimulation& run) -> void
{
    for (const auto& [pool, demand] : run.m_input.m_demand) {
        auto size = static_cast<std::int64_t>(sizeOf(run.m_fleet.m_state.m_pools, pool));
        const auto targetSize = std::max<std::int64_t>(1, demand);
        while (size > targetSize && moveInstance(run, anyInstanceOf(run, pool), poolName(0)))
            --size;
    }
    for (const auto& [pool, demand] : run.m_input.m_demand) {
        auto size = static_cast<std::int64_t>(sizeOf(run.m_fleet.m_state.m_pools, pool));
        while (size < demand && sizeOf(run.m_fleet.m_state.m_pools, poolName(0)) > 0) {
            if (!moveInstance(run, anyInstanceOf(run, poolName(0)), pool))
                break;
            ++size;
        }
    }
}

} // namespace

auto simulateMoves(const FleetShape& shape, DemandTrace trace, bool movesImmediately, WallMillis shortageDelay,
    std::uint64_t seed) -> MoveResult
{
    MoveSimulation run { shape, trace, SimulatedFleet(shape), std::mt19937_64(seed), {}, {}, {}, {}, {} };
    run.m_fleet.changeSetting("pool.spare", poolName(0), 1);
    for (std::uint32_t pool = 1; pool < shape.m_pools; ++pool)
        run.m_initialSize[poolName(pool)] = sizeOf(run.m_fleet.m_state.m_pools, poolName(pool));
    MovePlanState state;
    state.m_limits.m_shortageDelay = shortageDelay;
    for (WallMillis at = 0; at < day; at += tick) {
        run.m_fleet.m_now += tick;
        updateDemand(run, at);
        if (movesImmediately) {
            stepImmediate(run);
            continue;
        }
        for (const auto& action : planMoves(run.m_fleet.m_state, state, run.m_input)) {
            const auto accepted = moveInstance(run, action.m_instance, action.m_to);
            onMoveRecorded(state, action.m_instance, accepted, run.m_fleet.m_now);
        }
    }
    for (const auto& [pool, peakShortage] : run.m_peakShortage)
        run.m_result.m_lowerBound += static_cast<std::uint32_t>(peakShortage);
    return run.m_result;
}

auto sizeBuffers(const FleetShape& shape, bool coverZones, std::int64_t waveWidth) -> BufferResult
{
    SimulatedFleet fleet(shape);
    fleet.changeSetting("pool.spare", poolName(0), 1);
    DemandByPool demand;
    BufferResult result;
    std::map<std::string, std::int64_t> domains;
    std::map<std::string, std::map<std::string, std::int64_t>> domainsByPool;
    for (const auto& [id, instance] : fleet.m_state.m_pools.m_instances) {
        const auto& domain = coverZones ? instance.m_zone : instance.m_rack;
        if (instance.m_pool == poolName(0))
            continue;
        ++demand[instance.m_pool];
        ++domains[domain];
        ++domainsByPool[instance.m_pool][domain];
        ++result.m_used;
    }
    result.m_shared = requiredSpareInstances(fleet.m_state, demand, coverZones, waveWidth);
    for (const auto& [pool, counts] : domainsByPool) {
        std::int64_t largest = 0;
        for (const auto& [domain, count] : counts)
            largest = std::max(largest, count);
        result.m_perPool += largest + 1;
    }
    // However instances and buffer are distributed, the largest domain holds at least an even share of both.
    const auto count = static_cast<std::int64_t>(coverZones ? shape.m_zones : domains.size());
    const auto evenShare = (result.m_used + waveWidth * count + count - 2) / (count - 1);
    const auto rack = static_cast<std::int64_t>(shape.m_rackSize);
    result.m_lowerBound = coverZones ? evenShare : rack + waveWidth;
    return result;
}

} // namespace hemlockvane::bench

#include "hemlockvane/routing/ChooseExecutor.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hemlockvane {

namespace {

// Weights of the latest result in the moving averages.
constexpr double outcomeGain = 0.2;
constexpr double runTimeGain = 0.02;

auto toSeconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }

auto movingAverage(double mean, double value) -> double { return mean + outcomeGain * (value - mean); }

auto isEligible(RoutedExecutor& executor, bool repeatable, Instant now) -> bool
{
    auto& health = executor.m_health;
    if (executor.m_leaving)
        return false;
    if (health.m_ejectionState == EjectionState::Ejected && now >= health.m_ejectedUntil) {
        health.m_ejectionState = EjectionState::Probation;
        health.m_successes = 0;
    }
    if (health.m_ejectionState == EjectionState::Probation)
        return repeatable && executor.m_inFlight == 0;
    return health.m_ejectionState == EjectionState::Accepting;
}

// Mean failure rate and slowness of the other executors.
auto meanOfOthers(const RoutingState& state, const RoutedExecutor& self) -> std::pair<double, double>
{
    auto failures = 0.0;
    auto slowness = 0.0;
    auto count = 0;
    for (const auto& [name, executor] : state.m_executors) {
        if (&executor == &self || executor.m_health.m_samples == 0)
            continue;
        failures += executor.m_health.m_failureRate;
        slowness += executor.m_health.m_slowness;
        ++count;
    }
    return count == 0 ? std::pair(0.0, 1.0) : std::pair(failures / count, slowness / count);
}

auto isOutlier(const RoutingState& state, const RoutedExecutor& executor) -> bool
{
    const auto& limits = state.m_limits;
    const auto& health = executor.m_health;
    if (health.m_samples < limits.m_minimumSamples)
        return false;
    const auto [failures, slowness] = meanOfOthers(state, executor);
    if (health.m_failureRate > limits.m_maximumFailureRate && health.m_failureRate > limits.m_failureRatio * failures)
        return true;
    return health.m_slowness > limits.m_slowRatio * std::max(1.0, slowness);
}

auto eject(RoutingState& state, RoutedExecutor& executor, Instant now) -> void
{
    auto& health = executor.m_health;
    const auto factor = std::exp2(std::min(health.m_ejections, 16U));
    const auto time = std::min<double>(static_cast<double>(state.m_limits.m_baseEjectionTime.count()) * factor,
        static_cast<double>(state.m_limits.m_maximumEjectionTime.count()));
    health.m_ejectionState = EjectionState::Ejected;
    health.m_ejectedUntil = now + Duration { static_cast<Duration::rep>(time) };
    ++health.m_ejections;
}

// Ejects an outlier unless too many executors are ejected already.
auto ejectIfOutlier(RoutingState& state, RoutedExecutor& executor, Instant now) -> void
{
    const auto allowed = std::max(std::size_t { 1 },
        static_cast<std::size_t>(state.m_limits.m_maximumEjectedFraction * state.m_executors.size()));
    if (state.m_executors.size() > 1 && ejectedExecutors(state) < allowed && isOutlier(state, executor))
        eject(state, executor, now);
}

auto endProbation(RoutingState& state, ExecutorHealth& health) -> void
{
    if (++health.m_successes < state.m_limits.m_probationSuccesses)
        return;
    health = ExecutorHealth {};
}

auto finishRequest(RoutingState& state, std::string_view name) -> RoutedExecutor*
{
    const auto found = state.m_executors.find(name);
    if (found == state.m_executors.end())
        return nullptr;
    if (found->second.m_inFlight > 0)
        --found->second.m_inFlight;
    return &found->second;
}

// Run time divided by the team's mean run time, which is then updated.
auto slownessOf(RoutingState& state, std::string_view team, Duration runTime) -> double
{
    const auto seconds = std::max(toSeconds(runTime), toSeconds(Duration { 1 }));
    auto found = state.m_meanRunTime.find(team);
    if (found == state.m_meanRunTime.end())
        found = state.m_meanRunTime.emplace(std::string(team), seconds).first;
    const auto ratio = seconds / found->second;
    found->second += runTimeGain * (seconds - found->second);
    return ratio;
}

} // namespace

auto updateExecutors(RoutingState& state, const std::map<std::string, RoutedExecutor, std::less<>>& listed) -> void
{
    std::erase_if(state.m_executors, [&](const auto& known) { return !listed.contains(known.first); });
    for (const auto& [name, executor] : listed) {
        auto& known = state.m_executors[name];
        known.m_zone = executor.m_zone;
        known.m_leaving = executor.m_leaving;
    }
}

auto chooseExecutor(RoutingState& state, bool repeatable, std::span<const std::string> tried,
    const std::function<std::uint32_t(std::string_view)>& freeSlots, Instant now) -> std::optional<std::string>
{
    using Rank = std::tuple<bool, bool, bool, std::uint32_t>;
    std::optional<Rank> bestRank;
    std::optional<std::string> best;
    for (auto& [name, executor] : state.m_executors) {
        if (!isEligible(executor, repeatable, now))
            continue;
        const auto free = freeSlots(name);
        if (free == 0)
            continue;
        const auto untried = std::find(tried.begin(), tried.end(), name) == tried.end();
        const auto probation = executor.m_health.m_ejectionState == EjectionState::Probation;
        const Rank rank { untried, probation, executor.m_zone == state.m_zone, free };
        if (bestRank && rank <= *bestRank)
            continue;
        bestRank = rank;
        best = name;
    }
    if (best)
        ++state.m_executors.find(*best)->second.m_inFlight;
    return best;
}

auto recordAnswer(RoutingState& state, std::string_view executor, std::string_view team, Duration runTime, Instant now)
    -> void
{
    auto* routed = finishRequest(state, executor);
    if (routed == nullptr)
        return;
    auto& health = routed->m_health;
    const auto slowness = slownessOf(state, team, runTime);
    if (health.m_ejectionState == EjectionState::Probation) {
        if (slowness > state.m_limits.m_slowRatio)
            eject(state, *routed, now);
        else
            endProbation(state, health);
        return;
    }
    ++health.m_samples;
    health.m_failureRate = movingAverage(health.m_failureRate, 0);
    health.m_slowness = movingAverage(health.m_slowness, slowness);
    if (health.m_ejectionState == EjectionState::Accepting)
        ejectIfOutlier(state, *routed, now);
}

auto recordFailure(RoutingState& state, std::string_view executor, Instant now) -> void
{
    auto* routed = finishRequest(state, executor);
    if (routed == nullptr)
        return;
    auto& health = routed->m_health;
    if (health.m_ejectionState == EjectionState::Probation) {
        eject(state, *routed, now);
        return;
    }
    ++health.m_samples;
    health.m_failureRate = movingAverage(health.m_failureRate, 1);
    if (health.m_ejectionState == EjectionState::Accepting)
        ejectIfOutlier(state, *routed, now);
}

auto recordNeutral(RoutingState& state, std::string_view executor) -> void { finishRequest(state, executor); }

auto ejectedExecutors(const RoutingState& state) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(state.m_executors.begin(), state.m_executors.end(),
        [](const auto& executor) { return executor.second.m_health.m_ejectionState != EjectionState::Accepting; }));
}

} // namespace hemlockvane

#include "hemlockvane/routing/ChooseExecutor.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hemlockvane {

namespace {

// Weight of the newest outcome in the moving means.
constexpr double outcomeGain = 0.2;
constexpr double usualRunGain = 0.02;

auto toSeconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }

auto move(double mean, double value) -> double { return mean + outcomeGain * (value - mean); }

auto mayTake(RoutedExecutor& executor, bool repeatable, Instant now) -> bool
{
    auto& health = executor.m_health;
    if (executor.m_leaving)
        return false;
    if (health.m_standing == ExecutorStanding::SetAside && now >= health.m_until) {
        health.m_standing = ExecutorStanding::Probation;
        health.m_successes = 0;
    }
    if (health.m_standing == ExecutorStanding::Probation)
        return repeatable && executor.m_inFlight == 0;
    return health.m_standing == ExecutorStanding::Good;
}

// Mean failing part and slowness of the other executors.
auto othersOf(const RoutingState& state, const RoutedExecutor& self) -> std::pair<double, double>
{
    auto failures = 0.0;
    auto slowness = 0.0;
    auto count = 0;
    for (const auto& [name, executor] : state.m_executors) {
        if (&executor == &self || executor.m_health.m_samples == 0)
            continue;
        failures += executor.m_health.m_failures;
        slowness += executor.m_health.m_slowness;
        ++count;
    }
    return count == 0 ? std::pair(0.0, 1.0) : std::pair(failures / count, slowness / count);
}

auto isOutlier(const RoutingState& state, const RoutedExecutor& executor) -> bool
{
    const auto& limits = state.m_limits;
    const auto& health = executor.m_health;
    if (health.m_samples < limits.m_leastSamples)
        return false;
    const auto [failures, slowness] = othersOf(state, executor);
    if (health.m_failures > limits.m_failurePart && health.m_failures > limits.m_failureRatio * failures)
        return true;
    return health.m_slowness > limits.m_slowRatio * std::max(1.0, slowness);
}

auto setAside(RoutingState& state, RoutedExecutor& executor, Instant now) -> void
{
    auto& health = executor.m_health;
    const auto factor = std::exp2(std::min(health.m_timesSetAside, 16U));
    const auto time = std::min<double>(static_cast<double>(state.m_limits.m_firstSetAside.count()) * factor,
        static_cast<double>(state.m_limits.m_longestSetAside.count()));
    health.m_standing = ExecutorStanding::SetAside;
    health.m_until = now + Duration { static_cast<Duration::rep>(time) };
    ++health.m_timesSetAside;
}

// Sets an outlier aside unless too many are already.
auto judge(RoutingState& state, RoutedExecutor& executor, Instant now) -> void
{
    const auto allowed = std::max(
        std::size_t { 1 }, static_cast<std::size_t>(state.m_limits.m_setAsidePart * state.m_executors.size()));
    if (state.m_executors.size() > 1 && executorsSetAside(state) < allowed && isOutlier(state, executor))
        setAside(state, executor, now);
}

auto endProbation(RoutingState& state, ExecutorHealth& health) -> void
{
    if (++health.m_successes < state.m_limits.m_probationSuccesses)
        return;
    health = ExecutorHealth {};
}

auto take(RoutingState& state, std::string_view name) -> RoutedExecutor*
{
    const auto found = state.m_executors.find(name);
    if (found == state.m_executors.end())
        return nullptr;
    if (found->second.m_inFlight > 0)
        --found->second.m_inFlight;
    return &found->second;
}

// Ratio of a run to the team's usual one, which it then updates.
auto slownessOf(RoutingState& state, std::string_view team, Duration ranFor) -> double
{
    const auto seconds = std::max(toSeconds(ranFor), toSeconds(Duration { 1 }));
    auto found = state.m_usualRun.find(team);
    if (found == state.m_usualRun.end())
        found = state.m_usualRun.emplace(std::string(team), seconds).first;
    const auto ratio = seconds / found->second;
    found->second += usualRunGain * (seconds - found->second);
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
        if (!mayTake(executor, repeatable, now))
            continue;
        const auto free = freeSlots(name);
        if (free == 0)
            continue;
        const auto untried = std::find(tried.begin(), tried.end(), name) == tried.end();
        const auto probation = executor.m_health.m_standing == ExecutorStanding::Probation;
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

auto recordAnswer(RoutingState& state, std::string_view executor, std::string_view team, Duration ranFor, Instant now)
    -> void
{
    auto* routed = take(state, executor);
    if (routed == nullptr)
        return;
    auto& health = routed->m_health;
    const auto slowness = slownessOf(state, team, ranFor);
    if (health.m_standing == ExecutorStanding::Probation) {
        if (slowness > state.m_limits.m_slowRatio)
            setAside(state, *routed, now);
        else
            endProbation(state, health);
        return;
    }
    ++health.m_samples;
    health.m_failures = move(health.m_failures, 0);
    health.m_slowness = move(health.m_slowness, slowness);
    if (health.m_standing == ExecutorStanding::Good)
        judge(state, *routed, now);
}

auto recordFailure(RoutingState& state, std::string_view executor, Instant now) -> void
{
    auto* routed = take(state, executor);
    if (routed == nullptr)
        return;
    auto& health = routed->m_health;
    if (health.m_standing == ExecutorStanding::Probation) {
        setAside(state, *routed, now);
        return;
    }
    ++health.m_samples;
    health.m_failures = move(health.m_failures, 1);
    if (health.m_standing == ExecutorStanding::Good)
        judge(state, *routed, now);
}

auto recordNeutral(RoutingState& state, std::string_view executor) -> void { take(state, executor); }

auto executorsSetAside(const RoutingState& state) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(state.m_executors.begin(), state.m_executors.end(),
        [](const auto& executor) { return executor.second.m_health.m_standing != ExecutorStanding::Good; }));
}

} // namespace hemlockvane

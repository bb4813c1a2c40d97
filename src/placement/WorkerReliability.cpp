#include "hemlockvane/placement/WorkerReliability.h"

#include <algorithm>

namespace hemlockvane {

namespace {

constexpr std::uint32_t wholePercent = 100;
constexpr std::uint32_t maxDoublings = 16;

auto statusOf(PlacementState& state, std::string_view worker) -> WorkerStatus&
{
    const auto found = state.m_workers.find(worker);
    return found != state.m_workers.end() ? found->second : state.m_workers[std::string(worker)];
}

auto mayQuarantine(const FleetState& fleet, const PlacementState& state, std::string_view worker, Instant now) -> bool
{
    const auto instance = fleet.m_pools.m_instances.find(worker);
    if (instance == fleet.m_pools.m_instances.end())
        return false;
    const auto& pool = instance->second.m_pool;
    const auto quarantined = std::count_if(state.m_workers.begin(), state.m_workers.end(), [&](const auto& item) {
        const auto other = fleet.m_pools.m_instances.find(item.first);
        return item.second.m_quarantinedUntil > now && other != fleet.m_pools.m_instances.end()
            && other->second.m_pool == pool;
    });
    const auto size = sizeOf(fleet.m_pools, pool);
    const auto maxQuarantined = (size * state.m_limits.m_maxQuarantinedPercent + wholePercent - 1) / wholePercent;
    return size > 1 && static_cast<std::uint32_t>(quarantined) < maxQuarantined;
}

// Exponential backoff: doubles with each time, up to the longest duration.
auto backoff(Duration first, Duration longest, std::uint32_t times) -> Duration
{
    return std::min(longest, first * (1 << std::min(times, maxDoublings)));
}

auto quarantineIfUnreliable(const FleetState& fleet, PlacementState& state, std::string_view worker, Instant now)
    -> void
{
    auto& status = statusOf(state, worker);
    if (status.m_attributedFailures.size() < state.m_limits.m_quarantineThreshold || status.m_quarantinedUntil > now)
        return;
    if (!mayQuarantine(fleet, state, worker, now))
        return;
    status.m_quarantinedUntil
        = now + backoff(state.m_limits.m_quarantineTime, state.m_limits.m_maxQuarantineTime, status.m_quarantineCount);
    ++status.m_quarantineCount;
    status.m_attributedFailures.clear();
}

auto recordRefusal(PlacementState& state, std::string_view worker, Instant now) -> void
{
    auto& status = statusOf(state, worker);
    status.m_refusalBackoffUntil = now
        + backoff(state.m_limits.m_refusalBackoff, state.m_limits.m_maxRefusalBackoff, status.m_consecutiveRefusals);
    ++status.m_consecutiveRefusals;
}

auto recordEnd(QueueHistory& history, std::string_view worker, bool failed) -> void
{
    history.m_ends.emplace_back(worker, failed);
    if (history.m_ends.size() > maxQueueEnds)
        history.m_ends.pop_front();
}

// True when maxQuarantined of the queue's recent attempts on other workers failed too, so that a failure is no evidence
// against this worker.
auto failsElsewhere(const QueueHistory& history, std::string_view worker) -> bool
{
    std::size_t ends = 0;
    std::size_t failures = 0;
    for (const auto& [where, failed] : history.m_ends) {
        ends += where != worker ? 1 : 0;
        failures += where != worker && failed ? 1 : 0;
    }
    return failures * 2 > ends;
}

} // namespace

auto recordAttemptOutcome(const FleetState& fleet, PlacementState& state, std::string_view job, std::string_view worker,
    AttemptOutcome outcome, Instant now) -> void
{
    if (outcome == AttemptOutcome::Refused && !worker.empty())
        recordRefusal(state, worker, now);
    const auto found = fleet.m_jobs.m_jobs.find(job);
    const auto failed = outcome == AttemptOutcome::Failed;
    if (found == fleet.m_jobs.m_jobs.end() || (!failed && outcome != AttemptOutcome::Finished))
        return;
    auto& history = state.m_queues[{ found->second.m_team, found->second.m_queue }];
    auto& status = statusOf(state, worker);
    recordEnd(history, worker, failed);
    if (failed) {
        status.m_consecutiveFailures += failsElsewhere(history, worker) ? 0 : 1;
        return;
    }
    status.m_consecutiveFailures = 0;
    status.m_consecutiveRefusals = 0;
    if (!status.m_attributedFailures.empty())
        status.m_attributedFailures.erase(status.m_attributedFailures.begin());
    for (const auto& other : found->second.m_failedOn) {
        if (other == worker)
            continue;
        statusOf(state, other).m_attributedFailures.insert(std::string(job));
        quarantineIfUnreliable(fleet, state, other, now);
    }
}

auto isQuarantined(const PlacementState& state, std::string_view worker, Instant now) -> bool
{
    const auto found = state.m_workers.find(worker);
    return found != state.m_workers.end() && found->second.m_quarantinedUntil > now;
}

auto isInRefusalBackoff(const PlacementState& state, std::string_view worker, Instant now) -> bool
{
    const auto found = state.m_workers.find(worker);
    return found != state.m_workers.end() && found->second.m_refusalBackoffUntil > now;
}

auto isSuspect(const PlacementState& state, std::string_view worker) -> bool
{
    const auto found = state.m_workers.find(worker);
    return found != state.m_workers.end() && found->second.m_consecutiveFailures >= state.m_limits.m_suspectThreshold;
}

auto countReliableWorkersFailedOn(const PlacementState& state, const JobRecord& job, Instant now) -> std::uint32_t
{
    std::set<std::string_view> good;
    for (const auto& worker : job.m_failedOn) {
        if (!isQuarantined(state, worker, now) && !isSuspect(state, worker))
            good.insert(worker);
    }
    return static_cast<std::uint32_t>(good.size());
}

} // namespace hemlockvane

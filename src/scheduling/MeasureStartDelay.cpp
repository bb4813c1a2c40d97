#include "hemlockvane/scheduling/MeasureStartDelay.h"

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlockvane::scheduling {

namespace {

constexpr double deviationsAboveMean = 2;
constexpr std::size_t fewestSamples = 8; // The mean follows about this many starts, or a window of them.
constexpr std::size_t smallestWindow = 8;
constexpr Duration storingSpan { 1000 }; // A slow store is noticed after one to two of these.

auto measureDelay(StartFlow& flow, Duration delay) -> void
{
    const auto sample = static_cast<double>(delay.count());
    const auto gain = 1 / static_cast<double>(std::max(flow.m_inFlight, fewestSamples));
    flow.m_deviationMs += (std::abs(sample - flow.m_delayMs) - flow.m_deviationMs) * gain;
    flow.m_delayMs += (sample - flow.m_delayMs) * gain;
}

// The shortest time of the last spans is the store's own: an owner that is behind is late with its answers too.
auto measureStoring(StartFlow& flow, Duration storing, Instant now) -> Duration
{
    if (now >= flow.m_spanEndsAt) {
        flow.m_earlierStoring = std::exchange(flow.m_shortestStoring, storing);
        flow.m_spanEndsAt = now + storingSpan;
    }
    flow.m_shortestStoring = std::min(flow.m_shortestStoring, storing);
    return std::min(flow.m_shortestStoring, flow.m_earlierStoring);
}

// The window grows by one with each start that was quick, and shrinks in proportion, once for those in flight, when
// they are slower than what is allowed. Even in a quick store a start waits for up to two batches.
auto adaptWindow(StartFlow& flow, Duration allowance, Duration storing, Duration delay, Instant now) -> void
{
    const auto allowed = allowance + 2 * measureStoring(flow, storing, now);
    if (delay <= allowed) {
        flow.m_window += flow.m_isLimited ? 1 : 0;
        return;
    }
    if (now - flow.m_reducedAt < delay)
        return;
    const auto share = static_cast<double>(allowed.count()) / static_cast<double>(delay.count());
    const auto fitting = static_cast<std::size_t>(static_cast<double>(flow.m_inFlight) * share);
    flow.m_window = std::max(std::min(flow.m_window, fitting), smallestWindow);
    flow.m_reducedAt = now;
}

} // namespace

auto mayDecideStart(Scheduler& scheduler, std::string_view service) -> bool
{
    auto& flow = scheduler.m_startFlow;
    flow.m_isLimited = flow.m_inFlight >= flow.m_window;
    if (!flow.m_isLimited)
        return true;
    const auto found = flow.m_inFlightByService.find(service);
    return found == flow.m_inFlightByService.end() || found->second < std::min(flow.m_window, smallestWindow);
}

auto noteStartDecided(Scheduler& scheduler, TaskRun& run) -> void
{
    run.m_isInFlight = true;
    ++scheduler.m_startFlow.m_inFlight;
    ++scheduler.m_startFlow.m_inFlightByService[scheduler.m_executors[run.m_executor]->m_entry.m_service];
}

auto noteStartStored(Scheduler& scheduler, const Action& start, Instant now) -> void
{
    if (auto* run = findRun(scheduler, start.m_task, start.m_run, start.m_executor))
        run->m_storedAt = now;
}

auto confirmStart(Scheduler& scheduler, TaskRun& run, Instant now) -> void
{
    if (!run.m_isInFlight)
        return;
    const auto delay = now - run.m_orderedAt;
    measureDelay(scheduler.m_startFlow, delay);
    const auto storing = run.m_storedAt.value_or(run.m_orderedAt) - run.m_orderedAt;
    adaptWindow(scheduler.m_startFlow, scheduler.m_timing.m_placementMargin, storing, delay, now);
    endFlight(scheduler, run);
}

auto endFlight(Scheduler& scheduler, TaskRun& run) -> void
{
    if (!run.m_isInFlight)
        return;
    run.m_isInFlight = false;
    --scheduler.m_startFlow.m_inFlight;
    --scheduler.m_startFlow.m_inFlightByService[scheduler.m_executors[run.m_executor]->m_entry.m_service];
}

auto noteStartUnanswered(Scheduler& scheduler, const Action& start, Instant now) -> void
{
    auto* run = findRun(scheduler, start.m_task, start.m_run, start.m_executor);
    if (run == nullptr)
        return;
    run->m_unansweredAt = now;
    endFlight(scheduler, *run);
}

auto startDelay(const Scheduler& scheduler) -> Duration
{
    const auto& flow = scheduler.m_startFlow;
    return Duration(static_cast<std::int64_t>(std::ceil(flow.m_delayMs + deviationsAboveMean * flow.m_deviationMs)));
}

} // namespace hemlockvane::scheduling

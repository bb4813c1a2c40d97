#include "hemlockvane/scheduling/OpenOccurrences.h"

#include "hemlockvane/scheduling/MeasureJobMemory.h"
#include "hemlockvane/scheduling/OpenLimits.h"
#include "hemlockvane/scheduling/Scheduler.h"

#include <algorithm>
#include <string>
#include <utility>

namespace hemlockvane::scheduling {

namespace {

auto dueOf(const Job& job, std::uint32_t number) -> WallMillis
{
    return job.m_spec.m_firstDue + static_cast<std::int64_t>(number) * job.m_spec.m_intervalMs;
}

auto isDone(const Job& job, std::uint32_t number) -> bool
{
    return number < job.m_doneBelow || job.m_doneOccurrences.contains(number);
}

// What a job's open occurrences take.
struct OpenOccurrences {
    std::size_t m_size = 0; // Number of their tasks and steps.
    std::size_t m_unbegunSteps = 0; // Steps of those of which no task was started.
};

auto isUnbegun(const Occurrence& occurrence) -> bool
{
    return std::all_of(occurrence.m_steps.begin(), occurrence.m_steps.end(),
        [](const StepState& step) { return step.m_tasks.nextOwnState(0) == step.m_tasks.size(); });
}

auto sizeOf(const Occurrence& occurrence) -> std::size_t
{
    auto size = occurrence.m_steps.size();
    for (const auto& step : occurrence.m_steps)
        size += step.m_tasks.size();
    return size;
}

auto addOpen(OpenOccurrences& open, const Occurrence& occurrence) -> void
{
    open.m_size += sizeOf(occurrence);
    open.m_unbegunSteps += isUnbegun(occurrence) ? occurrence.m_steps.size() : 0;
}

auto measureOpen(const Job& job) -> OpenOccurrences
{
    OpenOccurrences open;
    for (const auto& [number, occurrence] : job.m_occurrences) {
        if (!occurrence.m_isDone)
            addOpen(open, occurrence);
    }
    return open;
}

// Whether another occurrence may be opened; one always may.
auto mayOpen(const Job& job, const OpenOccurrences& open) -> bool
{
    auto size = job.m_spec.m_steps.size();
    for (const auto& step : job.m_spec.m_steps)
        size += step.m_taskCount;
    return (open.m_size == 0 || open.m_size + size <= maximumOpenSize)
        && (open.m_unbegunSteps == 0 || open.m_unbegunSteps + job.m_spec.m_steps.size() <= maximumUnbegunSteps);
}

} // namespace

auto makeOccurrence(const Job& job, std::uint32_t number) -> Occurrence
{
    Occurrence occurrence;
    occurrence.m_number = number;
    occurrence.m_due = dueOf(job, number);
    occurrence.m_isDone = isDone(job, number);
    occurrence.m_steps.reserve(job.m_spec.m_steps.size());
    for (const auto& step : job.m_spec.m_steps) {
        StepState state;
        state.m_tasks = TaskTable(step.m_taskCount, occurrence.m_isDone);
        state.m_doneCount = occurrence.m_isDone ? step.m_taskCount : 0;
        occurrence.m_steps.push_back(std::move(state));
    }
    return occurrence;
}

auto hasRuns(const Occurrence& occurrence) -> bool
{
    return std::any_of(occurrence.m_steps.begin(), occurrence.m_steps.end(),
        [](const StepState& step) { return !step.m_runsByExecutor.empty(); });
}

auto ensureOccurrence(Job& job, std::uint32_t number) -> Occurrence*
{
    const auto found = job.m_occurrences.find(number);
    if (found != job.m_occurrences.end())
        return &found->second;
    if (number >= std::max<std::uint32_t>(job.m_spec.m_occurrences, 1))
        return nullptr;
    return &job.m_occurrences.emplace(number, makeOccurrence(job, number)).first->second;
}

auto openDueOccurrences(Job& job, WallMillis wall) -> void
{
    job.m_hasDelayedOccurrences = false;
    if (job.m_nextOccurrence >= job.m_spec.m_occurrences)
        return;
    auto open = measureOpen(job);
    for (auto& number = job.m_nextOccurrence; number < job.m_spec.m_occurrences; ++number) {
        if (dueOf(job, number) > wall)
            return;
        if (isDone(job, number) || job.m_occurrences.contains(number))
            continue;
        job.m_hasDelayedOccurrences = !mayOpen(job, open);
        if (job.m_hasDelayedOccurrences)
            return;
        addOpen(open, *ensureOccurrence(job, number));
    }
}

auto markOccurrenceDone(Job& job, std::uint32_t number) -> void
{
    if (number >= std::max<std::uint32_t>(job.m_spec.m_occurrences, 1) || number < job.m_doneBelow)
        return;
    job.m_doneOccurrences.insert(number);
    while (!job.m_doneOccurrences.empty() && *job.m_doneOccurrences.begin() == job.m_doneBelow) {
        job.m_doneOccurrences.erase(job.m_doneOccurrences.begin());
        ++job.m_doneBelow;
    }
    const auto known = job.m_occurrences.find(number);
    if (known != job.m_occurrences.end())
        known->second.m_isDone = true;
}

auto releaseMemory(Scheduler& scheduler, Job& job) -> void
{
    std::erase_if(job.m_occurrences,
        [&](const auto& item) { return (isFinal(job.m_phase) || item.second.m_isDone) && !hasRuns(item.second); });
    if (isFinal(job.m_phase) && job.m_occurrences.empty())
        job.m_spec.m_payload = std::string();
    countMemory(scheduler, job, memoryOf(job));
}

} // namespace hemlockvane::scheduling

#include "hemlockvane/scheduling/TrackJobs.h"

#include "hemlockvane/scheduling/MeasureJobMemory.h"
#include "hemlockvane/scheduling/OpenOccurrences.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>
#include <tuple>

namespace hemlockvane::scheduling {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
constexpr Duration arrivalRetention { 2000 }; // Longer than the window over which arrival rates are measured.

// Finds the longest path from each step to the end of the job: the sum of its estimates and the number of its steps.
auto findCriticalPaths(Job& job) -> void
{
    const auto& steps = job.m_spec.m_steps;
    auto& paths = job.m_criticalPathMs;
    auto& counts = job.m_criticalPathSteps;
    paths.assign(steps.size(), 0);
    counts.assign(steps.size(), 0);
    for (auto index = steps.size(); index-- > 0;) {
        paths[index] += steps[index].m_estimateMs;
        ++counts[index];
        for (const auto earlier : steps[index].m_after)
            std::tie(paths[earlier], counts[earlier])
                = std::max(std::tie(paths[earlier], counts[earlier]), std::tie(paths[index], counts[index]));
    }
}

// What a job adds at once. Long-running tasks and scheduled occurrences are not part of a burst.
auto arrivalOf(const JobSpec& spec, Instant now) -> Arrival
{
    Arrival arrival { now };
    for (const auto& step : spec.m_steps) {
        if (step.m_isLongRunning || spec.m_occurrences != 0)
            continue;
        const auto taskMillis = static_cast<std::int64_t>(step.m_taskCount) * step.m_estimateMs;
        arrival.m_milliCoreSeconds += taskMillis * step.m_perTask.m_cpuMilliCores / millisPerSecond;
        arrival.m_mbSeconds += taskMillis * step.m_perTask.m_memoryMb / millisPerSecond;
    }
    return arrival;
}

auto recordArrival(Scheduler& scheduler, const JobSpec& spec, Instant now) -> void
{
    auto& arrivals = scheduler.m_arrivals[spec.m_queue];
    arrivals.push_back(arrivalOf(spec, now));
    while (arrivals.front().m_at + arrivalRetention < now)
        arrivals.pop_front();
}

auto hasRuns(const Job& job) -> bool
{
    return std::any_of(
        job.m_occurrences.begin(), job.m_occurrences.end(), [](const auto& item) { return hasRuns(item.second); });
}

auto stopRuns(Scheduler& scheduler, Job& job) -> void
{
    for (auto& [number, occurrence] : job.m_occurrences) {
        for (auto& step : occurrence.m_steps)
            stopRuns(scheduler, step);
    }
}

} // namespace

auto findJob(const Scheduler& scheduler, JobId id) -> Job*
{
    const auto found = scheduler.m_jobs.find(id);
    return found == scheduler.m_jobs.end() ? nullptr : found->second.get();
}

auto addJob(Scheduler& scheduler, JobSpec spec, Instant now, WallMillis wall) -> bool
{
    const auto id = spec.m_id;
    if (scheduler.m_jobs.contains(id))
        return false;
    auto job = std::make_unique<Job>();
    job->m_spec = std::move(spec);
    findCriticalPaths(*job);
    if (job->m_spec.m_occurrences == 0)
        job->m_occurrences.emplace(0, makeOccurrence(*job, 0));
    recordArrival(scheduler, job->m_spec, now);
    auto& known = *job;
    scheduler.m_jobs.emplace(id, std::move(job));
    countMemory(scheduler, known, memoryOf(known.m_spec));
    scheduler.m_active.insert(id);
    markChanged(scheduler, known);
    if (scheduler.m_earlyCancellations.erase(id) > 0)
        enterPhase(scheduler, known, JobPhase::Cancelled, wall);
    return true;
}

auto cancelJob(Scheduler& scheduler, JobId id, WallMillis wall) -> void
{
    auto* job = findJob(scheduler, id);
    if (job == nullptr)
        scheduler.m_earlyCancellations.emplace(id, wall);
    else if (!isFinal(job->m_phase))
        enterPhase(scheduler, *job, JobPhase::Cancelled, wall);
}

auto dropJob(Scheduler& scheduler, JobId id) -> bool
{
    auto* job = findJob(scheduler, id);
    if (job == nullptr || hasRuns(*job))
        return false;
    if (job->m_candidates > 0)
        std::erase_if(
            scheduler.m_starts.m_candidates, [&](const StartCandidate& candidate) { return candidate.m_jobId == id; });
    scheduler.m_active.erase(id);
    scheduler.m_undecidedJobs.erase(id);
    countMemory(scheduler, *job, 0);
    scheduler.m_jobs.erase(id);
    return true;
}

auto markDirty(Scheduler& scheduler, Job& job) -> void
{
    if (job.m_isDirty)
        return;
    job.m_isDirty = true;
    scheduler.m_dirtyJobs.push_back(job.m_spec.m_id);
}

auto markChanged(Scheduler& scheduler, Job& job) -> void
{
    if (job.m_isChanged)
        return;
    job.m_isChanged = true;
    scheduler.m_starts.m_changedJobs.push_back(job.m_spec.m_id);
}

auto enterPhase(Scheduler& scheduler, Job& job, JobPhase phase, WallMillis wall) -> void
{
    if (job.m_phase == phase || isFinal(job.m_phase))
        return;
    job.m_phase = phase;
    if (isFinal(phase)) {
        job.m_endedAt = wall;
        stopRuns(scheduler, job);
        scheduler.m_endedJobs.push_back(job.m_spec.m_id);
    }
    markDirty(scheduler, job);
    markChanged(scheduler, job);
}

auto markBegun(Job& job) -> void
{
    if (job.m_phase == JobPhase::Queued)
        job.m_phase = JobPhase::Running;
}

auto findStep(Scheduler& scheduler, const TaskKey& key) -> StepState*
{
    auto* job = findJob(scheduler, key.m_job);
    if (job == nullptr)
        return nullptr;
    const auto occurrences = job->m_occurrences.size();
    auto* occurrence = ensureOccurrence(*job, key.m_occurrence);
    if (job->m_occurrences.size() != occurrences)
        markChanged(scheduler, *job);
    if (occurrence == nullptr || key.m_step >= occurrence->m_steps.size())
        return nullptr;
    return &occurrence->m_steps[key.m_step];
}

auto findTask(Scheduler& scheduler, const TaskKey& key) -> TaskState*
{
    auto* step = findStep(scheduler, key);
    return step == nullptr || key.m_index >= step->m_tasks.size() ? nullptr : &step->m_tasks.edit(key.m_index);
}

auto completeWhenDone(Scheduler& scheduler, Job& job, Occurrence& occurrence, WallMillis wall) -> void
{
    if (occurrence.m_isDone)
        return;
    for (const auto& step : occurrence.m_steps) {
        if (step.m_doneCount < step.m_tasks.size())
            return;
    }
    markOccurrenceDone(job, occurrence.m_number);
    ++job.m_occurrencesDone;
    if (job.m_occurrencesDone >= std::max<std::uint32_t>(job.m_spec.m_occurrences, 1))
        enterPhase(scheduler, job, JobPhase::Completed, wall);
}

auto retireJobs(Scheduler& scheduler) -> void
{
    std::erase_if(scheduler.m_endedJobs, [&](JobId id) {
        const auto* job = findJob(scheduler, id);
        if (job != nullptr && hasRuns(*job))
            return false;
        scheduler.m_active.erase(id);
        return true;
    });
}

auto countWaitingJobs(const Scheduler& scheduler, std::string_view queue) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(scheduler.m_active.begin(), scheduler.m_active.end(), [&](JobId id) {
        const auto& job = *scheduler.m_jobs.at(id);
        return job.m_phase == JobPhase::Queued && job.m_spec.m_queue == queue;
    }));
}

auto isStepReady(const StepSpec& spec, const Occurrence& occurrence) -> bool
{
    return std::all_of(spec.m_after.begin(), spec.m_after.end(), [&](std::uint32_t earlier) {
        const auto& state = occurrence.m_steps[earlier];
        return state.m_doneCount == state.m_tasks.size();
    });
}

} // namespace hemlockvane::scheduling

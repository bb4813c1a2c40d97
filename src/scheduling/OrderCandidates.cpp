#include "hemlockvane/scheduling/OrderCandidates.h"

#include "hemlockvane/scheduling/IndexRoom.h"
#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/OpenOccurrences.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hemlockvane::scheduling {

namespace {

constexpr std::int64_t overdueFactor = 2; // A run is overdue after this multiple of its estimate.
constexpr std::int64_t lapseFactor = 3; // A job is of no use to its caller after this multiple of its objective.

auto overdueAfter(const Scheduler& scheduler, const StepSpec& spec) -> Duration
{
    return Duration(spec.m_estimateMs * overdueFactor) + scheduler.m_timing.m_placementMargin;
}

auto mayNeedDuplicate(const StepSpec& spec, const TaskState& task) -> bool
{
    return spec.m_allowsDuplicates && !spec.m_isGang && !task.m_isDone && task.m_runs.size() == 1;
}

auto needsDuplicate(const Scheduler& scheduler, const StepSpec& spec, const TaskState& task, Instant now) -> bool
{
    if (!mayNeedDuplicate(spec, task))
        return false;
    const auto& run = task.m_runs.front();
    return scheduler.m_executors[run.m_executor]->m_isUnresponsive
        || now - run.m_orderedAt > overdueAfter(scheduler, spec);
}

auto hasWaitingTask(const Scheduler& scheduler, const StepSpec& spec, const StepState& step, Instant now) -> bool
{
    return std::any_of(step.m_tasks.begin(), step.m_tasks.end(),
        [&](const TaskState& task) { return needsRun(scheduler, spec, task, now); });
}

auto hasBegun(const Occurrence& occurrence) -> bool
{
    return std::any_of(occurrence.m_steps.begin(), occurrence.m_steps.end(),
        [](const StepState& step) { return step.m_doneCount > 0 || !step.m_runsByExecutor.empty(); });
}

auto beginOf(const Job& job, const Occurrence& occurrence) -> WallMillis
{
    return job.m_spec.m_occurrences > 0 ? occurrence.m_due : job.m_spec.m_submittedAt;
}

auto objectiveDeadline(const Job& job, const Occurrence& occurrence, const QueueRules& queue) -> std::int64_t
{
    const auto criticalPath = job.m_criticalPathMs.empty()
        ? 0
        : *std::max_element(job.m_criticalPathMs.begin(), job.m_criticalPathMs.end());
    return beginOf(job, occurrence) + static_cast<std::int64_t>(queue.m_stretch * static_cast<double>(criticalPath))
        + queue.m_latencyTargetMs;
}

auto isBefore(const StartCandidate& left, const StartCandidate& right) -> bool
{
    const auto orderOf = [](const StartCandidate& candidate) {
        return std::tie(candidate.m_priority, candidate.m_class, candidate.m_order, candidate.m_jobId, candidate.m_step,
            candidate.m_occurrence);
    };
    return orderOf(left) < orderOf(right);
}

// Late jobs come in the order of their lateness, the least late first, which have the most to gain.
auto classify(StartCandidate& candidate, CandidateClass newClass) -> void
{
    candidate.m_class = newClass;
    candidate.m_order
        = newClass == CandidateClass::Late ? candidate.m_criticalPathMs - candidate.m_dueMs : candidate.m_dueMs;
}

// Looks at the job again when the earliest of its runs that may need a duplicate is overdue.
auto watchRuns(Scheduler& scheduler, Job& job, const StepSpec& spec, const StepState& step, Instant now) -> void
{
    if (!spec.m_allowsDuplicates || spec.m_isGang)
        return;
    const auto& tasks = step.m_tasks;
    for (auto index = tasks.nextOwnState(0); index < tasks.size(); index = tasks.nextOwnState(index + 1)) {
        const auto& task = tasks[index];
        if (!mayNeedDuplicate(spec, task))
            continue;
        const auto overdueAt = task.m_runs.front().m_orderedAt + overdueAfter(scheduler, spec);
        if (overdueAt < now || (job.m_watchedUntil && *job.m_watchedUntil <= overdueAt))
            continue;
        if (job.m_watchedUntil)
            scheduler.m_starts.m_overdueRuns.erase({ *job.m_watchedUntil, job.m_spec.m_id });
        job.m_watchedUntil = overdueAt;
        scheduler.m_starts.m_overdueRuns.emplace(overdueAt, job.m_spec.m_id);
    }
}

auto openOccurrences(Scheduler& scheduler, Job& job, WallMillis wall) -> void
{
    openDueOccurrences(job, wall);
    if (!job.m_hasDelayedOccurrences && job.m_nextOccurrence < job.m_spec.m_occurrences)
        scheduler.m_starts.m_dueOccurrences.emplace(
            job.m_spec.m_firstDue + static_cast<std::int64_t>(job.m_nextOccurrence) * job.m_spec.m_intervalMs,
            job.m_spec.m_id);
}

auto collectFromJob(Scheduler& scheduler, Job& job, Instant now, WallMillis wall) -> void
{
    auto& candidates = scheduler.m_starts.m_candidates;
    releaseMemory(scheduler, job);
    const auto queue = scheduler.m_starts.m_queues.find(job.m_spec.m_queue);
    if (isFinal(job.m_phase) || queue == scheduler.m_starts.m_queues.end())
        return;
    openOccurrences(scheduler, job, wall);
    for (auto& [number, occurrence] : job.m_occurrences) {
        for (std::uint32_t step = 0; !occurrence.m_isDone && step < occurrence.m_steps.size(); ++step) {
            const auto& spec = job.m_spec.m_steps[step];
            auto& state = occurrence.m_steps[step];
            if (!isStepReady(spec, occurrence))
                continue;
            watchRuns(scheduler, job, spec, state, now);
            if (!hasWaitingTask(scheduler, spec, state, now))
                continue;
            StartCandidate candidate;
            candidate.m_job = &job;
            candidate.m_queue = &queue->second;
            candidate.m_occurrence = number;
            candidate.m_step = step;
            candidate.m_state = &state;
            candidate.m_spec = &spec;
            candidate.m_dueMs = objectiveDeadline(job, occurrence, queue->second);
            candidate.m_objectiveMs = candidate.m_dueMs - beginOf(job, occurrence);
            candidate.m_isBegun = hasBegun(occurrence);
            candidate.m_jobId = job.m_spec.m_id;
            candidate.m_priority = queue->second.m_priority;
            candidate.m_criticalPathMs = job.m_criticalPathMs[step];
            candidate.m_criticalPathSteps = job.m_criticalPathSteps[step];
            candidate.m_need = requiredResources(spec);
            candidate.m_pool = poolIndex(scheduler, queue->second.m_service, now);
            candidate.m_class = spec.m_isLongRunning ? CandidateClass::LongRunning : CandidateClass::InTime;
            classify(candidate, classOf(scheduler, candidate, wall));
            candidates.push_back(candidate);
            ++job.m_candidates;
        }
    }
}

// Candidates point to the copy of the rules.
auto adoptRules(Scheduler& scheduler) -> void
{
    auto& starts = scheduler.m_starts;
    if (starts.m_queues == scheduler.m_rules.m_queues)
        return;
    for (const auto& candidate : starts.m_candidates)
        candidate.m_job->m_candidates = 0;
    starts.m_candidates.clear();
    starts.m_queues = scheduler.m_rules.m_queues;
    for (const auto id : scheduler.m_active)
        markChanged(scheduler, *scheduler.m_jobs.at(id));
}

auto markWaited(Scheduler& scheduler, Instant now, WallMillis wall) -> void
{
    auto& due = scheduler.m_starts.m_dueOccurrences;
    while (!due.empty() && due.begin()->first <= wall) {
        if (auto* job = findJob(scheduler, due.begin()->second))
            markChanged(scheduler, *job);
        due.erase(due.begin());
    }
    auto& overdue = scheduler.m_starts.m_overdueRuns;
    while (!overdue.empty() && overdue.begin()->first < now) {
        if (auto* job = findJob(scheduler, overdue.begin()->second)) {
            job->m_watchedUntil.reset();
            markChanged(scheduler, *job);
        }
        overdue.erase(overdue.begin());
    }
}

// Removes the candidates of changed jobs, and takes out those whose class has changed.
auto removeChanged(Scheduler& scheduler, WallMillis wall) -> std::vector<StartCandidate>
{
    std::vector<StartCandidate> reclassified;
    std::erase_if(scheduler.m_starts.m_candidates, [&](StartCandidate& candidate) {
        if (candidate.m_job->m_isChanged) {
            candidate.m_job->m_candidates = 0;
            return true;
        }
        const auto newClass = classOf(scheduler, candidate, wall);
        if (newClass == candidate.m_class)
            return false;
        reclassified.push_back(candidate);
        classify(reclassified.back(), newClass);
        return true;
    });
    return reclassified;
}

} // namespace

auto classOf(const Scheduler& scheduler, const StartCandidate& candidate, WallMillis wall) -> CandidateClass
{
    if (candidate.m_class == CandidateClass::LongRunning)
        return CandidateClass::LongRunning;
    // A start takes time, so each step on the path costs that too. A job that has begun stays in time until it cannot
    // be: otherwise its steps would give way to jobs that begin, and all would end late.
    const auto delay = candidate.m_isBegun ? Duration { 0 } : startDelay(scheduler);
    const auto path = Duration(candidate.m_criticalPathMs) + scheduler.m_timing.m_placementMargin;
    const auto lateness = wall + path.count() - candidate.m_dueMs;
    if (lateness + (candidate.m_criticalPathSteps * delay).count() <= 0)
        return CandidateClass::InTime;
    if (lateness > candidate.m_objectiveMs * (lapseFactor - 1))
        return CandidateClass::Lapsed;
    // Of the late jobs, those that have begun go on first, so that some end.
    return candidate.m_isBegun ? CandidateClass::LateBegun : CandidateClass::Late;
}

auto refreshCandidates(Scheduler& scheduler, Instant now, WallMillis wall) -> void
{
    auto& starts = scheduler.m_starts;
    adoptRules(scheduler);
    markWaited(scheduler, now, wall);
    const auto reclassified = removeChanged(scheduler, wall);
    const auto kept = static_cast<std::ptrdiff_t>(starts.m_candidates.size());
    starts.m_candidates.insert(starts.m_candidates.end(), reclassified.begin(), reclassified.end());
    for (const auto id : std::exchange(starts.m_changedJobs, {})) {
        auto* job = findJob(scheduler, id);
        if (job == nullptr || !job->m_isChanged)
            continue;
        job->m_isChanged = false;
        collectFromJob(scheduler, *job, now, wall);
    }
    const auto added = starts.m_candidates.begin() + kept;
    std::sort(added, starts.m_candidates.end(), isBefore);
    std::inplace_merge(starts.m_candidates.begin(), added, starts.m_candidates.end(), isBefore);
}

auto needsRun(const Scheduler& scheduler, const StepSpec& spec, const TaskState& task, Instant now) -> bool
{
    return !task.m_isDone && (task.m_runs.empty() || needsDuplicate(scheduler, spec, task, now));
}

} // namespace hemlockvane::scheduling

#include "hemlockvane/scheduling/MeasureDemand.h"

#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"
#include "hemlockvane/scheduling/WorkspaceLimits.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockvane::scheduling {

namespace {

constexpr double millisPerSecond = 1000;
// Half the time of a machine move, so that a burst is detected early enough to move machines to the pool.
constexpr Duration rateWindow { 700 };
// Minimum time span of a rate, since jobs that arrive together would otherwise give an unbounded one.
constexpr Duration minimumSpan { 100 };
constexpr std::size_t minimumJobsForRate = 4;
// Standard errors that 95 of 100 samples stay below. The highest of the rates over many spans exceeds the true rate
// more often than the rate over one.
constexpr double errorsOfHighestRate = 1.645;

// Number of further executors that the waiting tasks of a step need, since none of the present ones can hold them.
// Long-running tasks with a limit for each executor need all of theirs, because they keep their places. Short tasks
// make room for one another while one executor joins.
auto executorsWanted(const StepSpec& spec, std::uint32_t waitingTasks) -> std::uint32_t
{
    if (!spec.m_isLongRunning || spec.m_perExecutorLimit == 0)
        return 1;
    return (waitingTasks + spec.m_perExecutorLimit - 1) / spec.m_perExecutorLimit;
}

// Long-running tasks that are to leave an evacuated zone. With a limit for each executor they may need further ones,
// however much processor is free.
auto tasksToMove(const Scheduler& scheduler, const StepSpec& spec, const StepState& state) -> std::uint32_t
{
    if (!spec.m_isLongRunning || spec.m_perExecutorLimit == 0 || scheduler.m_rules.m_evacuatedZones.empty())
        return 0;
    std::uint32_t tasks = 0;
    for (const auto& [index, runs] : state.m_runsByExecutor)
        tasks += scheduler.m_executors[index]->m_isZoneEvacuated ? runs : 0;
    return tasks;
}

// What demand is added to and limited by; looked up once for each queue and workspace in use.
struct DemandContext {
    const Scheduler& m_scheduler;
    std::map<std::string, PoolDemand>& m_demands;
    std::unordered_map<std::string_view, PoolDemand*> m_demandByQueue; // Null for a queue without rules.
    std::unordered_map<std::string_view, Resources> m_freeByWorkspace;
};

auto demandOf(DemandContext& context, const std::string& queue) -> PoolDemand*
{
    const auto [known, isNew] = context.m_demandByQueue.try_emplace(queue, nullptr);
    if (!isNew)
        return known->second;
    const auto& queues = context.m_scheduler.m_rules.m_queues;
    const auto rules = queues.find(queue);
    if (rules != queues.end())
        known->second = &context.m_demands[rules->second.m_service];
    return known->second;
}

auto freeOf(DemandContext& context, const std::string& workspace) -> const Resources&
{
    const auto [known, isNew] = context.m_freeByWorkspace.try_emplace(workspace);
    if (isNew)
        known->second = freeWithinLimit(context.m_scheduler, workspace);
    return known->second;
}

// Steps can share the executors, so the step with the most waiting tasks decides.
auto wantExecutors(PoolDemand& demand, const StepSpec& spec, std::uint32_t waitingTasks) -> void
{
    const auto executors = executorsWanted(spec, waitingTasks);
    auto& wanted = demand.m_executorsWanted[spec.m_requiredLabel];
    wanted = std::max(wanted, executors);
    if (!spec.m_isLongRunning)
        return;
    auto& forLongRunning = demand.m_executorsForLongRunning[spec.m_requiredLabel];
    forLongRunning = std::max(forLongRunning, executors);
}

// Tasks beyond a workspace's limit are not counted: more machines would not start them.
auto addStep(DemandContext& context, PoolDemand& demand, const Job& job, const Occurrence& occurrence, std::size_t step)
    -> void
{
    const auto& spec = job.m_spec.m_steps[step];
    const auto& state = occurrence.m_steps[step];
    const auto need = requiredResources(spec).m_cpuMilliCores;
    const auto tasks = static_cast<std::uint32_t>(state.m_tasks.size());
    auto waitingTasks = tasks - state.m_doneCount - state.m_runningTasks;
    const auto memory = spec.m_perTask.m_memoryMb;
    demand.m_runningMilliCores += need * state.m_runningTasks;
    demand.m_runningMb += memory * state.m_runningTasks;
    if (const auto moving = tasksToMove(context.m_scheduler, spec, state); moving > 0)
        wantExecutors(demand, spec, moving);
    if (waitingTasks == 0)
        return;
    if (!isStepReady(spec, occurrence)) {
        demand.m_blockedMilliCores += need * waitingTasks;
        demand.m_blockedMb += memory * waitingTasks;
        return;
    }
    waitingTasks = tasksWithin(freeOf(context, job.m_spec.m_workspace), spec.m_perTask, waitingTasks);
    if (waitingTasks == 0)
        return;
    demand.m_waitingMilliCores += need * waitingTasks;
    demand.m_waitingMb += memory * waitingTasks;
    wantExecutors(demand, spec, waitingTasks);
}

// One of the measures of an arrival's work: processor or memory over time.
using Work = std::int64_t Arrival::*;

// Work of a number of arrivals, with the variance of this sum if jobs arrive independently of one another.
struct ArrivedWork {
    double m_work = 0; // In millicore-seconds or MB-seconds.
    double m_variance = 0;
    std::size_t m_jobs = 0;
};

auto add(ArrivedWork& sum, const Arrival& arrival, Work measure) -> void
{
    const auto work = static_cast<double>(arrival.*measure);
    sum.m_work += work;
    sum.m_variance += work * work;
    ++sum.m_jobs;
}

auto seconds(Duration span) -> double { return static_cast<double>(span.count()) / millisPerSecond; }

// Millicores, or MB, that the arrivals keep busy, reduced by a number of standard errors of such a small sample.
auto conservativeRate(const ArrivedWork& sum, Duration span, double errors) -> double
{
    return (sum.m_work - errors * std::sqrt(sum.m_variance)) / seconds(std::max(span, minimumSpan));
}

// Millicores, or MB, that arrivals at the current rate keep busy; 0 if too few jobs have arrived to compute a rate.
auto arrivingRate(const std::deque<Arrival>& arrivals, Work measure, Instant now) -> std::int64_t
{
    ArrivedWork sum;
    auto highestRate = 0.0;
    for (auto arrival = arrivals.rbegin(); arrival != arrivals.rend() && now - arrival->m_at <= rateWindow; ++arrival) {
        add(sum, *arrival, measure);
        if (sum.m_jobs >= minimumJobsForRate)
            highestRate = std::max(highestRate, conservativeRate(sum, now - arrival->m_at, errorsOfHighestRate));
    }
    if (sum.m_jobs >= minimumJobsForRate)
        highestRate = std::max(highestRate, conservativeRate(sum, rateWindow, 1));
    return static_cast<std::int64_t>(highestRate);
}

// Growth of the arrivals from the window before to the newest one, in millicores or MB a second, reduced by its
// standard error. The window before may be shorter, since a new owner does not know the arrivals before it took over.
auto arrivingGrowth(const std::deque<Arrival>& arrivals, Work measure, Instant now) -> std::int64_t
{
    ArrivedWork newest;
    ArrivedWork before;
    Duration spanBefore { 0 };
    for (auto arrival = arrivals.rbegin(); arrival != arrivals.rend(); ++arrival) {
        const auto age = now - arrival->m_at;
        spanBefore = std::clamp(age - rateWindow, Duration(0), rateWindow);
        if (age <= 2 * rateWindow)
            add(age <= rateWindow ? newest : before, *arrival, measure);
    }
    if (newest.m_jobs < minimumJobsForRate || spanBefore < minimumSpan)
        return 0;
    const auto share = seconds(rateWindow) / seconds(spanBefore);
    const auto error = std::sqrt(newest.m_variance + before.m_variance * share * share);
    const auto growth = (newest.m_work - before.m_work * share - error) / seconds(rateWindow);
    const auto distance = seconds(rateWindow + spanBefore) / 2; // Between the centers of the windows.
    return std::max<std::int64_t>(0, static_cast<std::int64_t>(growth / distance));
}

} // namespace

auto measureDemand(const Scheduler& scheduler, Instant now) -> std::map<std::string, PoolDemand>
{
    std::map<std::string, PoolDemand> demands;
    DemandContext context { scheduler, demands, {}, {} };
    // Looked up ahead, so that the cache misses of several jobs overlap.
    std::vector<const Job*> jobs;
    jobs.reserve(scheduler.m_active.size());
    for (const auto id : scheduler.m_active)
        jobs.push_back(scheduler.m_jobs.at(id).get());
    for (const auto* job : jobs) {
        auto* demand = isFinal(job->m_phase) ? nullptr : demandOf(context, job->m_spec.m_queue);
        if (demand == nullptr)
            continue;
        for (const auto& [number, occurrence] : job->m_occurrences) {
            for (std::size_t step = 0; !occurrence.m_isDone && step < occurrence.m_steps.size(); ++step)
                addStep(context, *demand, *job, occurrence, step);
        }
    }
    for (const auto& [name, arrivals] : scheduler.m_arrivals) {
        const auto queue = scheduler.m_rules.m_queues.find(name);
        if (queue == scheduler.m_rules.m_queues.end())
            continue;
        auto& demand = demands[queue->second.m_service];
        demand.m_arrivingMilliCores += arrivingRate(arrivals, &Arrival::m_milliCoreSeconds, now);
        demand.m_arrivingGrowth += arrivingGrowth(arrivals, &Arrival::m_milliCoreSeconds, now);
        demand.m_arrivingMb += arrivingRate(arrivals, &Arrival::m_mbSeconds, now);
        demand.m_arrivingGrowthMb += arrivingGrowth(arrivals, &Arrival::m_mbSeconds, now);
    }
    return demands;
}

} // namespace hemlockvane::scheduling

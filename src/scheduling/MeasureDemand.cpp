#include "hemlockvane/scheduling/MeasureDemand.h"

#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

namespace hemlockvane::scheduling {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
constexpr Duration rateWindow { 700 }; // Half a move's time: a rush is seen while machines can still come for it.
constexpr std::size_t leastJobsForRate = 4;

auto addStep(PoolDemand& demand, const Occurrence& occurrence, const StepState& state, const StepSpec& spec) -> void
{
    const auto need = roomNeeded(spec).m_cpuMillis;
    const auto isOpen = isStepOpen(spec, occurrence);
    for (const auto& task : state.m_tasks) {
        if (task.m_isDone)
            continue;
        if (!task.m_runs.empty())
            demand.m_runningMillis += need;
        else if (isOpen)
            demand.m_waitingMillis += need;
        else
            demand.m_followingMillis += need;
    }
}

// Processors that arrivals at the present rate keep busy; 0 for a few jobs, which make no rate.
auto arrivingMillis(const std::deque<Arrival>& arrivals, Instant now) -> std::int64_t
{
    std::int64_t work = 0;
    std::size_t jobs = 0;
    for (const auto& arrival : arrivals) {
        if (arrival.m_at + rateWindow < now)
            continue;
        work += arrival.m_work;
        ++jobs;
    }
    return jobs < leastJobsForRate ? 0 : work * millisPerSecond / rateWindow.count();
}

} // namespace

auto measureDemand(const Scheduler& scheduler, Instant now) -> std::map<std::string, PoolDemand>
{
    std::map<std::string, PoolDemand> demands;
    for (const auto id : scheduler.m_active) {
        const auto& job = *scheduler.m_jobs.at(id);
        const auto queue = scheduler.m_rules.m_queues.find(job.m_spec.m_queue);
        if (isFinal(job.m_phase) || queue == scheduler.m_rules.m_queues.end())
            continue;
        auto& demand = demands[queue->second.m_service];
        for (const auto& [number, occurrence] : job.m_occurrences) {
            for (std::size_t step = 0; !occurrence.m_isDone && step < occurrence.m_steps.size(); ++step)
                addStep(demand, occurrence, occurrence.m_steps[step], job.m_spec.m_steps[step]);
        }
    }
    for (const auto& [name, arrivals] : scheduler.m_arrivals) {
        const auto queue = scheduler.m_rules.m_queues.find(name);
        if (queue != scheduler.m_rules.m_queues.end())
            demands[queue->second.m_service].m_arrivingMillis += arrivingMillis(arrivals, now);
    }
    return demands;
}

} // namespace hemlockvane::scheduling

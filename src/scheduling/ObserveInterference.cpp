#include "hemlockvane/scheduling/ObserveInterference.h"

#include "hemlockvane/interference/MeasureInterference.h"
#include "hemlockvane/scheduling/Scheduler.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <cmath>
#include <string>
#include <vector>

namespace hemlockvane::scheduling {

namespace {

constexpr Duration sampleInterval { 500 }; // Executors measure over the last half second.
constexpr std::int32_t atWork = 100; // Percent.
constexpr std::int32_t slowPace = 25; // A filler at this pace or below disturbs little, and shows nothing of its image.
constexpr double percent = 100;

// Images at work beside a task of an image, which counts itself if it has another task there.
auto imagesBeside(Scheduler& scheduler, ExecutorIndex index, const std::string& image) -> std::vector<std::string>
{
    std::vector<std::string> others;
    auto& executor = *scheduler.m_executors[index];
    std::map<std::string, std::uint32_t> slowed;
    if (executor.m_fillerRuns > 0) {
        for (const auto& item : executor.m_runs) {
            const auto& spec = findJob(scheduler, item.m_task.m_job)->m_spec.m_steps[item.m_task.m_step];
            if (spec.m_isFiller && findRun(scheduler, item.m_task, item.m_run, index)->m_pace <= slowPace)
                ++slowed[spec.m_image];
        }
    }
    for (const auto& [other, runs] : executor.m_images) {
        const auto present = runs - (slowed.contains(other) ? slowed.at(other) : 0);
        if (present > (other == image ? 1U : 0U))
            others.push_back(other);
    }
    return others;
}

auto observeExecutor(Scheduler& scheduler, ExecutorIndex index, Instant now) -> void
{
    for (const auto& item : scheduler.m_executors[index]->m_runs) {
        const auto& spec = findJob(scheduler, item.m_task.m_job)->m_spec.m_steps[item.m_task.m_step];
        const auto* run = findRun(scheduler, item.m_task, item.m_run, index);
        if (spec.m_image.empty() || spec.m_targetMs <= 0 || run->m_phase != RunPhase::Running || run->m_percent < atWork
            || run->m_measurement <= 0)
            continue;
        const auto ratio = static_cast<double>(run->m_measurement) / static_cast<double>(spec.m_targetMs);
        interference::observe(
            scheduler.m_interference, spec.m_image, ratio, imagesBeside(scheduler, index, spec.m_image), now);
    }
}

} // namespace

auto observeLatencies(Scheduler& scheduler, Instant now) -> void
{
    for (const auto index : scheduler.m_activeExecutors) {
        auto& executor = *scheduler.m_executors[index];
        // Only what has been reported since the last sample.
        if (executor.m_images.empty() || executor.m_clockReadAt <= executor.m_sampledAt
            || now - executor.m_sampledAt < sampleInterval)
            continue;
        executor.m_sampledAt = now;
        observeExecutor(scheduler, index, now);
    }
}

auto observeDuration(Scheduler& scheduler, ExecutorIndex executor, const StepSpec& spec, Duration duration, Instant now)
    -> void
{
    if (spec.m_image.empty() || spec.m_estimateMs <= 0 || duration <= Duration { 0 })
        return;
    const auto ratio = static_cast<double>(duration.count()) / static_cast<double>(spec.m_estimateMs);
    // The run itself has been removed already.
    std::vector<std::string> others;
    for (const auto& [image, runs] : scheduler.m_executors[executor]->m_images)
        others.push_back(image);
    interference::observe(scheduler.m_interference, spec.m_image, ratio, others, now);
}

auto expectedHarm(const Scheduler& scheduler, const StepSpec& spec, ExecutorIndex executor) -> std::int64_t
{
    if (!scheduler.m_separatesInterference || scheduler.m_interference.m_verdicts.empty() || spec.m_image.empty())
        return 0;
    auto harm = 0.0;
    for (const auto& [image, runs] : scheduler.m_executors[executor]->m_images)
        harm += interference::knownHarm(scheduler.m_interference, spec.m_image, image);
    return std::llround(harm * percent);
}

} // namespace hemlockvane::scheduling

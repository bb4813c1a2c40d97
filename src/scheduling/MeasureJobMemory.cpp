#include "hemlockvane/scheduling/MeasureJobMemory.h"

#include "hemlockvane/scheduling/OpenLimits.h"
#include "hemlockvane/scheduling/Scheduler.h"

#include <algorithm>

namespace hemlockvane::scheduling {

namespace {

constexpr std::size_t nodeBytes = 64; // Of a map, with the allocator's overhead.
constexpr std::size_t nodesOfJob = 4; // In the containers that list jobs.

auto memoryOfStep(const StepSpec& step) -> std::size_t
{
    return sizeof(StepSpec) + step.m_after.size() * sizeof(std::uint32_t) + step.m_requiredLabel.size()
        + step.m_dataRack.size() + step.m_image.size() + sizeof(std::int64_t) + sizeof(std::uint32_t);
}

auto memoryOfSpec(const JobSpec& spec) -> std::size_t
{
    auto bytes
        = sizeof(Job) + nodesOfJob * nodeBytes + spec.m_queue.size() + spec.m_workspace.size() + spec.m_payload.size();
    for (const auto& step : spec.m_steps)
        bytes += memoryOfStep(step);
    return bytes;
}

} // namespace

auto memoryOf(const JobSpec& spec) -> std::size_t
{
    const auto steps = spec.m_steps.size();
    const auto openSteps = spec.m_occurrences > 1 ? std::max(steps, maximumUnbegunSteps) : steps;
    const auto openOccurrences = openSteps / std::max<std::size_t>(steps, 1);
    return memoryOfSpec(spec) + openSteps * sizeof(StepState) + openOccurrences * (sizeof(Occurrence) + nodeBytes);
}

auto memoryOf(const Job& job) -> std::size_t
{
    auto bytes = memoryOfSpec(job.m_spec);
    for (const auto& [number, occurrence] : job.m_occurrences) {
        bytes += sizeof(Occurrence) + nodeBytes;
        for (const auto& step : occurrence.m_steps)
            bytes += sizeof(StepState) + step.m_tasks.ownBytes();
    }
    return bytes;
}

auto countMemory(Scheduler& scheduler, Job& job, std::size_t bytes) -> void
{
    if (bytes == job.m_memory)
        return;
    auto& memory = scheduler.m_jobMemory;
    auto& ofWorkspace = memory.m_byWorkspace[job.m_spec.m_workspace];
    memory.m_total += bytes - job.m_memory;
    ofWorkspace += bytes - job.m_memory;
    job.m_memory = bytes;
    if (ofWorkspace == 0)
        memory.m_byWorkspace.erase(job.m_spec.m_workspace);
}

} // namespace hemlockvane::scheduling

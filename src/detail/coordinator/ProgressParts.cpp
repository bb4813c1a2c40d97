#include "hemlockvane/detail/coordinator/ProgressParts.h"

#include "hemlockvane/detail/coordinator/SchedulerRecords.h"

#include <algorithm>
#include <utility>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t lengthBytes = 4; // The store counts the length prefix of each record.

// Numbers the tasks of all occurrences of a job.
class TaskNumbers {
public:
    explicit TaskNumbers(const scheduling::JobSpec& spec)
    {
        for (const auto& step : spec.m_steps) {
            m_firstOfStep.push_back(m_tasks);
            m_tasks += step.m_taskCount;
        }
    }

    [[nodiscard]] auto partOf(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>((occurrence * m_tasks + m_firstOfStep[step] + index) / tasksPerPart);
    }

private:
    std::uint64_t m_tasks = 0; // Of one occurrence.
    std::vector<std::uint64_t> m_firstOfStep;
};

} // namespace

auto divideProgress(const scheduling::JobSpec& spec, scheduling::JobProgress progress)
    -> std::map<std::uint32_t, scheduling::JobProgress>
{
    const TaskNumbers numbers(spec);
    std::map<std::uint32_t, scheduling::JobProgress> parts;
    auto tasks = std::exchange(progress.m_tasks, {});
    auto runs = std::exchange(progress.m_runs, {});
    parts[0] = std::move(progress);
    for (auto& task : tasks)
        parts[numbers.partOf(task.m_occurrence, task.m_step, task.m_index)].m_tasks.push_back(std::move(task));
    for (auto& run : runs) {
        const auto& key = run.m_task;
        parts[numbers.partOf(key.m_occurrence, key.m_step, key.m_index)].m_runs.push_back(std::move(run));
    }
    return parts;
}

auto encodePart(scheduling::JobProgress part, std::size_t maximumBytes) -> std::string
{
    auto bytes = encodeProgress(part);
    while (bytes.size() > maximumBytes) {
        const auto largest = std::max_element(part.m_tasks.begin(), part.m_tasks.end(),
            [](const auto& left, const auto& right) { return left.m_checkpoint.size() < right.m_checkpoint.size(); });
        if (largest == part.m_tasks.end() || largest->m_checkpoint.empty())
            break;
        largest->m_checkpoint.clear();
        bytes = encodeProgress(part);
    }
    return bytes;
}

auto divideRecords(std::vector<std::string> records, std::size_t requestBytes) -> std::vector<std::vector<std::string>>
{
    std::vector<std::vector<std::string>> appends;
    std::size_t bytes = 0;
    for (auto& record : records) {
        const auto size = record.size() + lengthBytes;
        if (appends.empty() || bytes + size > requestBytes) {
            appends.emplace_back();
            bytes = 0;
        }
        bytes += size;
        appends.back().push_back(std::move(record));
    }
    return appends;
}

} // namespace hemlockvane::detail

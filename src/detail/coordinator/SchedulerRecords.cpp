#include "hemlockvane/detail/coordinator/SchedulerRecords.h"

#include "hemlockvane/scheduling.pb.h"

#include <charconv>
#include <cstdio>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t jobIdDigits = 16;
constexpr int hexBase = 16;

auto toBytes(std::string_view bytes) -> std::string { return std::string(bytes); }

auto encodeTask(const scheduling::TaskProgress& task, wire::TaskProgressRecord& record) -> void
{
    record.set_occurrence(task.m_occurrence);
    record.set_step(task.m_step);
    record.set_index(task.m_index);
    record.set_done(task.m_isDone);
    record.set_failures(task.m_failures);
    record.set_gang_failures(task.m_gangFailures);
    record.set_crashes(task.m_crashes);
    record.set_possible_crashes(task.m_possibleCrashes);
    record.set_highest_run(task.m_highestRun);
    record.set_ended_runs(task.m_countedRunBits);
    record.set_checkpoint(task.m_checkpoint);
}

auto encodeRun(const scheduling::RunProgress& run, wire::RunProgressRecord& record) -> void
{
    record.set_occurrence(run.m_task.m_occurrence);
    record.set_step(run.m_task.m_step);
    record.set_index(run.m_task.m_index);
    record.set_run(run.m_run);
    record.set_executor_id(run.m_executorId);
}

auto decodeTask(const wire::TaskProgressRecord& record) -> scheduling::TaskProgress
{
    scheduling::TaskProgress task;
    task.m_occurrence = record.occurrence();
    task.m_step = record.step();
    task.m_index = record.index();
    task.m_isDone = record.done();
    task.m_failures = record.failures();
    task.m_gangFailures = record.gang_failures();
    task.m_crashes = record.crashes();
    task.m_possibleCrashes = record.possible_crashes();
    task.m_highestRun = record.highest_run();
    task.m_countedRunBits = record.ended_runs();
    task.m_checkpoint = record.checkpoint();
    return task;
}

} // namespace

auto jobIdText(scheduling::JobId id) -> std::string
{
    char text[jobIdDigits + 1];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
    return text;
}

auto parseJobId(std::string_view text) -> std::optional<scheduling::JobId>
{
    scheduling::JobId id = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, id, hexBase);
    if (text.size() != jobIdDigits || result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return id;
}

auto stepText(const scheduling::TaskKey& key) -> std::string
{
    return jobIdText(key.m_job) + "." + std::to_string(key.m_occurrence) + "." + std::to_string(key.m_step);
}

auto taskText(const scheduling::TaskKey& key) -> std::string
{
    return stepText(key) + "." + std::to_string(key.m_index);
}

auto encodeProgress(const scheduling::JobProgress& progress) -> std::string
{
    wire::ProgressRecord record;
    record.set_phase(static_cast<std::uint32_t>(progress.m_phase));
    record.set_ended_at_ms(progress.m_endedAt);
    record.set_occurrences_done(progress.m_occurrencesDone);
    record.set_done_below(progress.m_doneBelow);
    for (const auto number : progress.m_doneOccurrences)
        record.add_done_occurrences(number);
    for (const auto& task : progress.m_tasks)
        encodeTask(task, *record.add_tasks());
    for (const auto& run : progress.m_runs)
        encodeRun(run, *record.add_runs());
    return record.SerializeAsString();
}

auto decodeProgress(scheduling::JobId id, std::string_view bytes) -> std::optional<scheduling::JobProgress>
{
    wire::ProgressRecord record;
    if (!record.ParseFromString(toBytes(bytes)))
        return std::nullopt;
    scheduling::JobProgress progress;
    progress.m_phase = static_cast<scheduling::JobPhase>(record.phase());
    progress.m_endedAt = record.ended_at_ms();
    progress.m_occurrencesDone = record.occurrences_done();
    progress.m_doneBelow = record.done_below();
    progress.m_doneOccurrences.assign(record.done_occurrences().begin(), record.done_occurrences().end());
    for (const auto& task : record.tasks())
        progress.m_tasks.push_back(decodeTask(task));
    for (const auto& run : record.runs())
        progress.m_runs.push_back({ { id, run.occurrence(), run.step(), run.index() }, run.run(), run.executor_id() });
    return progress;
}

auto encodeExecutor(const StoredExecutor& executor) -> std::string
{
    const auto& entry = executor.m_entry;
    wire::ExecutorRecord record;
    record.set_id(entry.m_id);
    record.set_born_ms(entry.m_startedAtMs);
    record.set_service(entry.m_service);
    record.set_address(entry.m_address);
    record.set_zone(entry.m_zone);
    record.set_machine(entry.m_machine);
    for (const auto& label : entry.m_labels)
        record.add_labels(label);
    record.set_cpu_millis(entry.m_capacity.m_cpuMilliCores);
    record.set_memory_mb(entry.m_capacity.m_memoryMb);
    record.set_gpus(entry.m_capacity.m_gpus);
    record.set_may_hold_earlier_lease(executor.m_mayHoldEarlierLease);
    record.set_may_get_earlier_requests(executor.m_mayGetEarlierRequests);
    return record.SerializeAsString();
}

auto decodeExecutor(std::string_view bytes) -> std::optional<StoredExecutor>
{
    wire::ExecutorRecord record;
    if (!record.ParseFromString(toBytes(bytes)))
        return std::nullopt;
    StoredExecutor executor;
    auto& entry = executor.m_entry;
    entry.m_id = record.id();
    entry.m_startedAtMs = record.born_ms();
    entry.m_service = record.service();
    entry.m_address = record.address();
    entry.m_zone = record.zone();
    entry.m_machine = record.machine();
    entry.m_labels.assign(record.labels().begin(), record.labels().end());
    entry.m_capacity = { record.cpu_millis(), record.memory_mb(), record.gpus() };
    executor.m_mayHoldEarlierLease = record.may_hold_earlier_lease();
    executor.m_mayGetEarlierRequests = record.may_get_earlier_requests();
    return executor;
}

} // namespace hemlockvane::detail

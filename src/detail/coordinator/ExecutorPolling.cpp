#include "hemlockvane/detail/coordinator/ExecutorPolling.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/LeaseDeadline.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/SendActions.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/logging/OutcomeNames.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/ports/ExecutorPort.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/fleet/ReadMachines.h"
#include "hemlockvane/scheduling/AttemptLimits.h"
#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/FencingToken.h"
#include "hemlockvane/scheduling/PollSchedule.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration registryReadInterval { 250 }; // Between two reads of the registry; a drain must be known within 2 s.
constexpr Duration pollWait { 900 }; // Maximum wait of a poll for an ended run; a lease lasts for several polls.
constexpr Duration newerOwnerCheckInterval { 200 }; // Until a renewal shows that there is no newer owner.
// An executor that has not answered for longer may have been replaced by another life under its id.
constexpr Duration lifeCheckInterval { 300 };
constexpr Duration idlePollInterval { 30000 }; // For an executor without runs that answered the last poll.

auto startPolling(const std::shared_ptr<CoordinatorState>& state, scheduling::ExecutorIndex index) -> void
{
    const auto& id = state->m_scheduler.m_executors[index]->m_entry.m_id;
    if (state->m_pollSignals.contains(id))
        return;
    state->m_pollSignals.emplace(id, std::make_unique<Signal>(state->m_context));
    asio::co_spawn(state->m_context, pollExecutor(state, index), asio::detached);
}

auto applyRegistryRecord(const std::shared_ptr<CoordinatorState>& state, const KeyedRecord& record) -> void
{
    auto& scheduler = state->m_scheduler;
    const auto entry
        = record.m_value.empty() ? std::nullopt : state->m_ports.m_decoders.m_executor(record.m_key, record.m_value);
    const auto known = scheduler.m_executorById.find(record.m_key);
    if (!entry) {
        if (known == scheduler.m_executorById.end())
            return;
        if (scheduler.m_executors[known->second]->m_isRegistered)
            logOf("executors").info("event=unlisted executor={} empty={}", record.m_key, record.m_value.empty());
        if (record.m_value.empty())
            scheduling::noteEntryRemoved(scheduler, record.m_key, monotonicNow());
        else
            scheduling::unregisterExecutor(scheduler, record.m_key);
        return;
    }
    const auto isNew = known == scheduler.m_executorById.end();
    const auto wasDraining = !isNew && scheduler.m_executors[known->second]->m_entry.m_isDraining;
    const auto wasRegistered = !isNew && scheduler.m_executors[known->second]->m_isRegistered;
    const auto knownStartMs = isNew ? 0 : scheduler.m_executors[known->second]->m_entry.m_startedAtMs;
    const auto knownCapacity = isNew ? entry->m_capacity : scheduler.m_executors[known->second]->m_entry.m_capacity;
    const auto index = scheduling::registerExecutor(scheduler, *entry, state->m_earlierLeasesExpireBy, monotonicNow());
    if (!wasRegistered || knownStartMs != entry->m_startedAtMs) {
        storeExecutor(*state, index);
        state->m_journalSignal.notify();
        // Its polling may be idle, and no task is started there before its first answer.
        wakePolling(*state, entry->m_id);
    }
    if ((isNew || knownStartMs != entry->m_startedAtMs) && !entry->m_machine.empty())
        fleet::noteJoined(state->m_fleet.m_machines, entry->m_machine, entry->m_id, monotonicNow());
    if (isNew || knownStartMs != entry->m_startedAtMs || wasDraining != entry->m_isDraining) {
        logOf("executors")
            .info("event=listed executor={} service={} born={} draining={} remaining_ms={} offset={}", entry->m_id,
                entry->m_service, entry->m_startedAtMs, entry->m_isDraining, entry->m_remainingMs, record.m_offset);
        state->m_planSignal.notify();
    }
    if (knownCapacity != entry->m_capacity) {
        logOf("executors")
            .info("event=capacity executor={} cpu={} memory_mb={} used_cpu={}", entry->m_id,
                entry->m_capacity.m_cpuMilliCores, entry->m_capacity.m_memoryMb,
                scheduler.m_executors[index]->m_used.m_cpuMilliCores);
        state->m_planSignal.notify();
    }
    startPolling(state, index);
}

// Returns whether there are more records to be read at once.
auto readRegistry(const std::shared_ptr<CoordinatorState>& state, std::uint64_t& offset) -> asio::awaitable<bool>
{
    const auto askedAt = monotonicNow();
    const auto read = co_await state->m_ports.m_store->read(state->m_ports.m_executorTopic, offset, Duration { 0 });
    if (!read || state->m_isStopped)
        co_return false;
    if (read->m_isExpired) {
        const auto content = co_await state->m_ports.m_store->newest(state->m_ports.m_executorTopic);
        if (!content || state->m_isStopped)
            co_return false;
        loadExecutors(state, *content);
        state->m_scheduler.m_registryReadAt = askedAt;
        co_return false;
    }
    // Heartbeats repeat an entry: only the newest record of each executor is applied.
    std::map<std::string, KeyedRecord> newest;
    for (const auto& bytes : read->m_records) {
        auto record = decodeKeyedRecord(bytes, offset++);
        if (record)
            newest.insert_or_assign(record->m_key, std::move(*record));
    }
    for (const auto& [id, record] : newest)
        applyRegistryRecord(state, record);
    // One read returns a limited number of records.
    const auto isAtEnd = offset >= read->m_end;
    if (isAtEnd)
        state->m_scheduler.m_registryReadAt = askedAt;
    co_return !isAtEnd && !read->m_records.empty();
}

// The ended runs of a report that count as failures once the report is applied.
auto newFailures(CoordinatorState& state, const scheduling::Executor& executor,
    const scheduling::ExecutorReport& report) -> std::vector<scheduling::EndedRun>
{
    const auto isNewIncarnation = report.m_startedAtMs > executor.m_entry.m_startedAtMs;
    const auto applied = isNewIncarnation ? 0 : executor.m_appliedEnd;
    std::vector<scheduling::EndedRun> failures;
    for (const auto& end : report.m_endedRuns) {
        if (end.m_number > applied && scheduling::countsAsFailure(state.m_scheduler, end))
            failures.push_back(end);
    }
    return failures;
}

auto countPoll(CoordinatorState& state, const scheduling::Executor& executor, const PollResult& result) -> void
{
    auto& load = state.m_load;
    ++load.m_polls;
    if (result.m_outcome != CallOutcome::Answered) {
        ++load.m_pollsUnanswered;
        return;
    }
    const auto newEnds = static_cast<std::uint64_t>(
        std::count_if(result.m_report.m_endedRuns.begin(), result.m_report.m_endedRuns.end(),
            [&](const scheduling::EndedRun& end) { return end.m_number > executor.m_appliedEnd; }));
    load.m_ends += newEnds;
    load.m_pollsWithNews += newEnds > 0 ? 1 : 0;
}

// Logs failed runs that have been counted: with their task's count, the limit that applied and the version of the
// configuration it is from, which together decide whether the job fails.
auto logFailures(CoordinatorState& state, const scheduling::Executor& executor,
    const std::vector<scheduling::EndedRun>& failures) -> void
{
    const auto& rules = state.m_scheduler.m_rules;
    for (const auto& end : failures) {
        const auto& job = *scheduling::findJob(state.m_scheduler, end.m_task.m_job);
        const auto allowed = scheduling::maximumAttempts(rules, job);
        logOf("jobs").info("event=run_failed task={} run={} executor={} failures={} gang_failures={} allowed={} "
                           "phase={} rules_version={}",
            taskText(end.m_task), end.m_run, executor.m_entry.m_id,
            scheduling::findTask(state.m_scheduler, end.m_task)->m_failures,
            scheduling::findStep(state.m_scheduler, end.m_task)->m_gangFailures,
            allowed ? std::to_string(*allowed) : "unknown", nameOf(job.m_phase), rules.m_version);
    }
}

// Whether the executor is certainly in the life that answered last, so that the numbers of its ends are those that were
// acknowledged.
auto isLifeCertain(const scheduling::Executor& executor, Instant now) -> bool
{
    return executor.m_clockMs != 0 && !executor.m_isUnresponsive && now - executor.m_clockReadAt < lifeCheckInterval;
}

auto pollOnce(const std::shared_ptr<CoordinatorState>& state, scheduling::ExecutorIndex index) -> asio::awaitable<bool>
{
    auto& executor = *state->m_scheduler.m_executors[index];
    const auto now = monotonicNow();
    PollRequest request;
    request.m_fencingToken = fencingTokenFor(*state, index);
    // A new life would forget ends that it has numbered below those of the earlier one.
    request.m_acknowledgedEnd = isLifeCertain(executor, now) ? executor.m_acknowledgedEnd : 0;
    request.m_deadlineMs = leaseDeadline(*state, executor, now);
    const auto mayWait
        = isLifeCertain(executor, now) && executor.m_isReconciled && !executor.m_endedLife && !executor.m_runs.empty();
    request.m_wait = mayWait ? pollWait : Duration { 0 };
    executor.m_leaseUntilMs = std::max(executor.m_leaseUntilMs, request.m_deadlineMs.value_or(0));
    const auto previousStartMs = executor.m_entry.m_startedAtMs;
    auto result = co_await state->m_ports.m_executors->poll(executor.m_entry.m_address, executor.m_entry.m_id, request);
    if (state->m_isStopped)
        co_return false;
    state->m_ports.m_metrics->count("looks_total");
    countPoll(*state, executor, result);
    const auto isForPresentLife = request.m_fencingToken == fencingTokenFor(*state, index);
    if (result.m_outcome == CallOutcome::Answered) {
        if (executor.m_isUnresponsive)
            logOf("executors").info("event=regained executor={}", executor.m_entry.m_id);
        result.m_report.m_pollSentAt = now;
        result.m_report.m_isForPresentLife = isForPresentLife;
        const auto wasReconciled = executor.m_isReconciled;
        std::vector<scheduling::Action> actions;
        const auto failures = newFailures(*state, executor, result.m_report);
        scheduling::applyReport(state->m_scheduler, index, result.m_report, monotonicNow(), wallNow(), actions);
        // The next owner relies on what is stored of a new life.
        const auto isNewLife = executor.m_entry.m_startedAtMs != previousStartMs;
        const auto isFirstAnswer = executor.m_mayHoldEarlierLease && executor.m_isReconciled && !wasReconciled;
        if (isNewLife || isFirstAnswer) {
            storeExecutor(*state, index);
            state->m_journalSignal.notify();
        }
        logFailures(*state, executor, failures);
        sendActions(state, std::move(actions));
        if (!result.m_report.m_endedRuns.empty())
            state->m_journalSignal.notify();
        state->m_planSignal.notify();
        co_return true;
    }
    // Nothing follows from it for the present life.
    if (!isForPresentLife)
        co_return true;
    if (result.m_outcome == CallOutcome::OtherIncarnation && previousStartMs == executor.m_entry.m_startedAtMs) {
        logOf("executors")
            .info("event=gone executor={} born={} runs={}", executor.m_entry.m_id, executor.m_entry.m_startedAtMs,
                executor.m_runs.size());
        scheduling::markTerminated(state->m_scheduler, index, monotonicNow());
        state->m_planSignal.notify();
        co_return true;
    }
    if (result.m_outcome == CallOutcome::StaleFence)
        executor.m_epochRefusedAt = monotonicNow();
    if (!executor.m_isUnresponsive)
        logOf("executors")
            .info("event=lost executor={} outcome={} runs={} lease_until={}", executor.m_entry.m_id,
                nameOf(result.m_outcome), executor.m_runs.size(), executor.m_leaseUntilMs);
    // A poll that ends before its wait has not timed out: its connection broke just now.
    const auto lostAt = monotonicNow();
    scheduling::markUnresponsive(executor, lostAt - now < request.m_wait ? lostAt : now);
    co_return false;
}

// Waits until the ends that the executor has reported are stored.
auto waitUntilStored(std::shared_ptr<CoordinatorState> state, const scheduling::Executor& executor, Signal& signal,
    Instant until) -> asio::awaitable<void>
{
    for (auto now = monotonicNow(); now < until && !executor.m_unacknowledgedEnds.empty() && !state->m_isStopped;
         now = monotonicNow())
        co_await signal.wait(until - now);
}

} // namespace

auto fencingTokenFor(const CoordinatorState& state, scheduling::ExecutorIndex index) -> std::uint64_t
{
    return scheduling::fencingToken(state.m_epoch, *state.m_scheduler.m_executors[index]);
}

auto hasNewerOwner(const CoordinatorState& state, const scheduling::Executor& executor) -> bool
{
    return executor.m_epochRefusedAt && state.m_ports.m_renewedAt() <= *executor.m_epochRefusedAt;
}

auto wakePolling(CoordinatorState& state, const std::string& id) -> void
{
    const auto found = state.m_pollSignals.find(id);
    if (found != state.m_pollSignals.end())
        found->second->notify();
}

auto loadExecutors(const std::shared_ptr<CoordinatorState>& state, const TopicContent& content) -> void
{
    std::set<std::string> listed;
    for (const auto& record : content.first) {
        applyRegistryRecord(state, record);
        if (!record.m_value.empty())
            listed.insert(record.m_key);
    }
    // Executors that are known only from the journal of an earlier owner may still have runs.
    for (scheduling::ExecutorIndex index = 0; index < state->m_scheduler.m_executors.size(); ++index) {
        const auto& id = state->m_scheduler.m_executors[index]->m_entry.m_id;
        if (listed.contains(id))
            continue;
        scheduling::noteEntryRemoved(state->m_scheduler, id, monotonicNow());
        startPolling(state, index);
    }
    state->m_nextExecutorOffset = content.second;
}

auto followExecutors(std::shared_ptr<CoordinatorState> state) -> asio::awaitable<void>
{
    while (!state->m_isStopped) {
        const auto hasMore = co_await readRegistry(state, state->m_nextExecutorOffset);
        if (!hasMore)
            co_await sleepFor(registryReadInterval);
    }
}

auto pollExecutor(std::shared_ptr<CoordinatorState> state, scheduling::ExecutorIndex index) -> asio::awaitable<void>
{
    auto& executor = *state->m_scheduler.m_executors[index];
    auto& signal = *state->m_pollSignals.at(executor.m_entry.m_id);
    while (!state->m_isStopped) {
        if (!scheduling::needsPoll(executor)) {
            co_await signal.wait(idlePollInterval);
            continue;
        }
        if (hasNewerOwner(*state, executor)) {
            co_await sleepFor(newerOwnerCheckInterval);
            continue;
        }
        const auto isAnswered = co_await pollOnce(state, index);
        if (state->m_isStopped)
            co_return;
        if (!isAnswered) {
            co_await sleepFor(scheduling::unansweredPollPause(executor));
            continue;
        }
        const auto answeredAt = monotonicNow();
        const auto spacing = scheduling::pollSpacing(state->m_loopDelay);
        co_await sleepFor(spacing);
        state->m_loopDelay = scheduling::updateLoopDelay(state->m_loopDelay, monotonicNow() - answeredAt - spacing);
        co_await waitUntilStored(state, executor, signal, answeredAt + scheduling::longestPollPause());
    }
}

} // namespace hemlockvane::detail

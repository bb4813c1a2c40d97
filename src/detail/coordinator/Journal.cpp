#include "hemlockvane/detail/coordinator/Journal.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/ExecutorPolling.h"
#include "hemlockvane/detail/coordinator/MachineOrders.h"
#include "hemlockvane/detail/coordinator/ProgressParts.h"
#include "hemlockvane/detail/coordinator/RulesVersion.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/SendActions.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/coordinator/WaveRecords.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/logging/OutcomeNames.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/StoreProgress.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

const std::string journalProducer = "owner";
constexpr Duration batchInterval { 40 }; // Between two appends; changes that arrive meanwhile go into one batch.
// Between two appends while starts or machine orders wait for their batch.
constexpr Duration pendingBatchInterval { 4 };
constexpr Duration idleWait { 1000 }; // Longest wait while there are no changes.
constexpr Duration appendTimeout { 1000 }; // A slow store answers within 0.5 s.
constexpr Duration retryPause { 80 }; // After an append that the store refused or did not answer.

constexpr char partSeparator = '.';

using PhaseInBatch = std::pair<scheduling::JobId, scheduling::JobPhase>;

auto journalAppend(const CoordinatorState& state, std::vector<std::string> records) -> StoreAppend
{
    StoreAppend request;
    request.m_topic = progressTopic;
    request.m_producer = journalProducer;
    request.m_epoch = state.m_epoch;
    request.m_records = std::move(records);
    return request;
}

auto partKey(scheduling::JobId id, std::uint32_t part) -> std::string
{
    if (part == 0)
        return progressPrefix + jobIdText(id);
    return progressPartPrefix + jobIdText(id) + partSeparator + std::to_string(part);
}

// Adds the parts of a job's progress that have changed; the first one always, since nearly all jobs have no other. It
// comes first, so that a takeover after some appends of a batch finds no job that has ended and isn't shown so.
auto addProgress(CoordinatorState& state, const scheduling::Job& job, std::vector<std::string>& records) -> void
{
    const auto id = job.m_spec.m_id;
    auto parts = divideProgress(job.m_spec, scheduling::progressOf(state.m_scheduler, job));
    const auto known = state.m_storedParts.find(id);
    std::map<std::uint32_t, std::size_t> before;
    if (known != state.m_storedParts.end()) {
        before = std::move(known->second);
        state.m_storedParts.erase(known);
    }
    for (auto& [number, part] : parts) {
        const auto key = partKey(id, number);
        const auto value = encodePart(std::move(part), state.m_ports.m_storeLimits.m_recordBytes - key.size() - 1);
        const auto hash = std::hash<std::string> {}(value);
        const auto stored = before.extract(number);
        if (number > 0)
            state.m_storedParts[id][number] = hash;
        if (number == 0 || stored.empty() || stored.mapped() != hash)
            records.push_back(encodeKeyedRecord(key, value));
    }
    for (const auto& [number, hash] : before)
        records.push_back(encodeKeyedRecord(partKey(id, number), {}));
}

// Encodes the changes since the last batch as appends that the store takes, and marks the jobs as clean.
auto collectBatch(CoordinatorState& state, std::vector<PhaseInBatch>& phases) -> std::vector<StoreAppend>
{
    auto& scheduler = state.m_scheduler;
    std::vector<std::string> records;
    // Before the jobs: runs are restored onto executors that the journal names.
    for (const auto& [key, value] : state.m_pendingRecords)
        records.push_back(encodeKeyedRecord(key, value));
    state.m_pendingRecords.clear();
    for (const auto id : scheduler.m_dirtyJobs) {
        auto* job = scheduling::findJob(scheduler, id);
        if (job == nullptr)
            continue;
        job->m_isDirty = false;
        phases.emplace_back(id, job->m_phase);
        addProgress(state, *job, records);
    }
    scheduler.m_dirtyJobs.clear();
    std::vector<StoreAppend> batch;
    for (auto& part : divideRecords(std::move(records), state.m_ports.m_storeLimits.m_requestBytes))
        batch.push_back(journalAppend(state, std::move(part)));
    return batch;
}

auto hasChanges(const CoordinatorState& state) -> bool
{
    return !state.m_scheduler.m_dirtyJobs.empty() || !state.m_pendingRecords.empty();
}

auto sizeOf(const StoreAppend& request) -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto& record : request.m_records)
        bytes += record.size();
    return bytes;
}

// Repeats an append until it is stored. The store applies repeats with the same sequence number once.
auto appendUntilStored(CoordinatorState& state, const StoreAppend& request) -> asio::awaitable<bool>
{
    auto isRefusalLogged = false;
    while (!state.m_isStopped) {
        auto attempt = request;
        const auto result = co_await state.m_ports.m_store->append(std::move(attempt), appendTimeout);
        if (result.m_kind == StoreAppendKind::Stored)
            co_return true;
        if (result.m_kind == StoreAppendKind::Fenced || result.m_kind == StoreAppendKind::OutOfOrder) {
            logOf("journal").error("event=journal_refused epoch={} sequence={} expected={}", request.m_epoch,
                request.m_sequence, result.m_expectedSequence);
            co_return false;
        }
        state.m_ports.m_metrics->count("journal_retries_total");
        if (result.m_kind == StoreAppendKind::Refused && !isRefusalLogged)
            logOf("journal").warn("event=append_refused sequence={} records={} bytes={}", request.m_sequence,
                request.m_records.size(), sizeOf(request));
        isRefusalLogged = isRefusalLogged || result.m_kind == StoreAppendKind::Refused;
        co_await sleepFor(retryPause);
    }
    co_return false;
}

auto restoreWave(CoordinatorState& state, std::string_view bytes) -> bool
{
    const auto stored = decodeWave(bytes);
    if (!stored)
        return false;
    auto& wave = state.m_fleet.m_waves[stored->m_order.m_number];
    wave.m_order.m_number = stored->m_order.m_number;
    wave.m_startedMachines = stored->m_startedMachines;
    wave.m_isCompleted = stored->m_isCompleted;
    // Machines that an earlier owner sent to maintenance may still be down; they count as down until a list shows them
    // up.
    for (const auto& machine : stored->m_startedMachines) {
        wave.m_downSince[machine] = monotonicNow();
        state.m_fleet.m_outstandingOrders[machine] = { .m_at = monotonicNow(), .m_pool = {}, .m_sendBy = {} };
    }
    return true;
}

auto restoreExecutor(CoordinatorState& state, std::string_view bytes) -> bool
{
    const auto stored = decodeExecutor(bytes);
    if (!stored)
        return false;
    const auto index = scheduling::registerExecutor(
        state.m_scheduler, stored->m_entry, state.m_earlierLeasesExpireBy, monotonicNow());
    auto& executor = *state.m_scheduler.m_executors[index];
    executor.m_isRegistered = false; // Until the registry contains it.
    const auto& timing = state.m_scheduler.m_timing;
    const auto untilArrived = stored->m_mayGetEarlierRequests ? timing.m_latestArrival : Duration { 0 };
    if (stored->m_mayHoldEarlierLease)
        scheduling::expectEarlierLease(timing, executor, monotonicNow() + untilArrived);
    state.m_storedExecutors.insert(stored->m_entry.m_id);
    return true;
}

auto restoreJob(CoordinatorState& state, std::string_view idText, std::string_view bytes) -> bool
{
    const auto id = parseJobId(idText);
    const auto progress = id ? decodeProgress(*id, bytes) : std::nullopt;
    if (!progress)
        return false;
    scheduling::restoreProgress(state.m_scheduler, *id, *progress, monotonicNow());
    return true;
}

auto restorePart(CoordinatorState& state, std::string_view name, std::string_view bytes) -> bool
{
    const auto dot = name.find(partSeparator);
    if (dot == std::string_view::npos)
        return false;
    const auto id = parseJobId(name.substr(0, dot));
    const auto digits = name.substr(dot + 1);
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (!id || parsed.ec != std::errc {} || parsed.ptr != digits.data() + digits.size())
        return false;
    state.m_storedParts[*id][number] = 0;
    const auto part = decodeProgress(*id, bytes);
    if (part)
        scheduling::restoreTasks(state.m_scheduler, *id, *part, monotonicNow());
    return part.has_value();
}

auto restoreRecord(CoordinatorState& state, char prefix, std::string_view name, std::string_view bytes) -> bool
{
    switch (prefix) {
    case executorPrefix:
        return restoreExecutor(state, bytes);
    case machineOrderPrefix:
        return restoreMachineOrder(state, std::string(name), bytes);
    case wavePrefix:
        return restoreWave(state, bytes);
    case rulesVersionPrefix:
        return restoreRulesVersion(state, bytes);
    case progressPartPrefix:
        return restorePart(state, name, bytes);
    default:
        return restoreJob(state, name, bytes);
    }
}

auto applyStoredBatch(CoordinatorState& state, const std::vector<PhaseInBatch>& phases, std::uint64_t batch) -> void
{
    for (const auto& [id, phase] : phases) {
        auto* job = scheduling::findJob(state.m_scheduler, id);
        if (job == nullptr)
            continue;
        if (scheduling::isFinal(phase) && !scheduling::isFinal(job->m_durablePhase))
            logOf("jobs").info("event=job_end job={} phase={} batch={} took_ms={}", jobIdText(id), nameOf(phase), batch,
                wallNow() - job->m_spec.m_submittedAt);
        job->m_durablePhase = phase;
    }
    for (const auto index : scheduling::markBatchStored(state.m_scheduler, batch))
        wakePolling(state, state.m_scheduler.m_executors[index]->m_entry.m_id);
}

} // namespace

auto fenceJournal(CoordinatorState& state) -> asio::awaitable<bool>
{
    const auto request = journalAppend(state, {});
    co_return co_await appendUntilStored(state, request);
}

auto removeProgress(CoordinatorState& state, scheduling::JobId id) -> void
{
    state.m_pendingRecords[partKey(id, 0)] = std::string();
    const auto parts = state.m_storedParts.extract(id);
    if (parts.empty())
        return;
    for (const auto& [number, hash] : parts.mapped())
        state.m_pendingRecords[partKey(id, number)] = std::string();
}

auto storeExecutor(CoordinatorState& state, scheduling::ExecutorIndex index) -> void
{
    const auto& executor = *state.m_scheduler.m_executors[index];
    const auto& id = executor.m_entry.m_id;
    const auto mayGetEarlierRequests = executor.m_mayHoldEarlierLease && !executor.m_isReconciled;
    state.m_pendingRecords[executorPrefix + id]
        = encodeExecutor({ executor.m_entry, executor.m_mayHoldEarlierLease, mayGetEarlierRequests });
    state.m_storedExecutors.insert(id);
}

auto restoreJournal(CoordinatorState& state, const TopicContent& content) -> void
{
    // Executors first, since runs are restored onto them, and the first part of a job's progress before the others.
    for (const auto prefix :
        { executorPrefix, machineOrderPrefix, wavePrefix, rulesVersionPrefix, progressPrefix, progressPartPrefix }) {
        for (const auto& record : content.first) {
            if (record.m_key.empty() || record.m_value.empty() || record.m_key.front() != prefix)
                continue;
            if (!restoreRecord(state, prefix, std::string_view(record.m_key).substr(1), record.m_value))
                logOf("journal").error("event=unreadable_record key={} offset={}", record.m_key, record.m_offset);
        }
    }
}

auto writeJournal(std::shared_ptr<CoordinatorState> state) -> asio::awaitable<void>
{
    std::uint64_t sequence = 1;
    while (!state->m_isStopped) {
        if (!hasChanges(*state)) {
            co_await state->m_journalSignal.wait(idleWait);
            continue;
        }
        std::vector<PhaseInBatch> phases;
        auto appends = collectBatch(*state, phases);
        auto starts = std::move(state->m_pendingStarts);
        auto orders = std::move(state->m_pendingMachineOrders);
        state->m_pendingStarts.clear();
        state->m_pendingMachineOrders.clear();
        const auto batch = state->m_scheduler.m_openBatch++;
        const auto sentAt = monotonicNow();
        for (auto& request : appends) {
            request.m_sequence = sequence++;
            const auto isStored = co_await appendUntilStored(*state, request);
            if (!isStored)
                co_return;
        }
        ++state->m_load.m_batches;
        state->m_load.m_longestBatch = std::max(state->m_load.m_longestBatch, monotonicNow() - sentAt);
        applyStoredBatch(*state, phases, batch);
        for (const auto& start : starts)
            scheduling::noteStartStored(state->m_scheduler, start, monotonicNow());
        sendActions(state, std::move(starts));
        sendMachineOrders(state, std::move(orders));
        const auto hasPending = !state->m_pendingStarts.empty() || !state->m_pendingMachineOrders.empty();
        co_await sleepFor(hasPending ? pendingBatchInterval : batchInterval);
    }
}

} // namespace hemlockvane::detail

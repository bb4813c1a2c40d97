#include "hemlockvane/detail/coordinator/Coordinator.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/DropJobs.h"
#include "hemlockvane/detail/coordinator/ExecutorPolling.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/LoadState.h"
#include "hemlockvane/detail/coordinator/ManageFleet.h"
#include "hemlockvane/detail/coordinator/ReportInterference.h"
#include "hemlockvane/detail/coordinator/ReportShares.h"
#include "hemlockvane/detail/coordinator/ReportWaiting.h"
#include "hemlockvane/detail/coordinator/ReportZones.h"
#include "hemlockvane/detail/coordinator/RulesVersion.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/coordinator/SendActions.h"
#include "hemlockvane/detail/coordinator/Submissions.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/logging/OutcomeNames.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/scheduling/AttemptLimits.h"
#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/Evacuate.h"
#include "hemlockvane/scheduling/ExecutorClock.h"
#include "hemlockvane/scheduling/ObserveInterference.h"
#include "hemlockvane/scheduling/PaceFillers.h"
#include "hemlockvane/scheduling/PlanStarts.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration planInterval { 100 }; // Longest time between two plans, for leases, stops and due times.
// Shortest time between two plans; changes that arrive meanwhile go into one plan.
constexpr Duration planSpacing { 8 };

// Between two passes over all runs and executors, for stops, leases and the pace of fillers. Starts are planned more
// often, since callers wait for them.
constexpr Duration sweepInterval { 40 };
// Planning takes at most a quarter of the time, so that requests are served and the ownership is renewed however large
// the fleet is; what happens between two plans goes into one.
constexpr int planningPauseFactor = 3;
constexpr Duration loadInterval { 1000 }; // Between two log lines about the owner's load.
constexpr std::size_t listedWorkspaces = 32; // At most: those that use this part of the limit of jobs' memory.
constexpr Duration statusReadTime { 300 }; // Reading for one query; another instance waits 500 ms for the answer.

// The next owner need not wait for these leases any more.
auto storeExpiredEarlierLeases(CoordinatorState& state, Instant now) -> void
{
    const auto forgotten = scheduling::forgetEarlierLeases(state.m_scheduler, now);
    for (const auto index : forgotten)
        storeExecutor(state, index);
    if (!forgotten.empty())
        state.m_journalSignal.notify();
}

// Retires executors and removes their records from the journal.
auto dropExecutorRecords(CoordinatorState& state) -> void
{
    for (const auto index : scheduling::retireExecutors(state.m_scheduler)) {
        const auto& id = state.m_scheduler.m_executors[index]->m_entry.m_id;
        if (state.m_storedExecutors.erase(id) > 0)
            state.m_pendingRecords[executorPrefix + id] = std::string();
    }
}

auto logLostRuns(CoordinatorState& state) -> void
{
    for (const auto& lost : state.m_scheduler.m_lostRuns)
        logOf("jobs").info("event=run_lost task={} run={} executor={} age_ms={} crashes={} possible={}",
            taskText(lost.m_task), lost.m_run, state.m_scheduler.m_executors[lost.m_executor]->m_entry.m_id,
            lost.m_age.count(), lost.m_crashes, lost.m_possibleCrashes);
    state.m_scheduler.m_lostRuns.clear();
}

// Whether the orders and answers that are logged anyway show that the run was given up.
auto isOrdinary(scheduling::DropReason reason) -> bool
{
    using scheduling::DropReason;
    return reason == DropReason::Refused || reason == DropReason::NotSent || reason == DropReason::Stopped;
}

auto logDroppedRuns(CoordinatorState& state) -> void
{
    for (const auto& dropped : state.m_scheduler.m_droppedRuns) {
        const auto reason = nameOf(dropped.m_reason);
        logOf("jobs").log(isOrdinary(dropped.m_reason) ? spdlog::level::info : spdlog::level::warn,
            "event=run_dropped task={} run={} executor={} reason={} age_ms={} born={}", taskText(dropped.m_task),
            dropped.m_run, state.m_scheduler.m_executors[dropped.m_executor]->m_entry.m_id, reason,
            dropped.m_age.count(), dropped.m_startedAtMs);
        state.m_ports.m_metrics->count("runs_dropped_total{reason=\"" + std::string(reason) + "\"}");
    }
    state.m_scheduler.m_droppedRuns.clear();
}

auto logFoundRuns(CoordinatorState& state) -> void
{
    for (const auto& found : state.m_scheduler.m_foundRuns) {
        const auto* other
            = found.m_otherRun ? state.m_scheduler.m_executors[found.m_otherExecutor]->m_entry.m_id.c_str() : "";
        logOf("jobs").warn("event=run_found task={} run={} executor={} born={} ended={} stopped={} other_run={} "
                           "other_executor={}",
            taskText(found.m_task), found.m_run, state.m_scheduler.m_executors[found.m_executor]->m_entry.m_id,
            found.m_startedAtMs, found.m_hasEnded, found.m_isStopped, found.m_otherRun.value_or(0), other);
        state.m_ports.m_metrics->count("runs_found_total");
    }
    state.m_scheduler.m_foundRuns.clear();
}

auto logNoticedLives(CoordinatorState& state) -> void
{
    for (const auto& life : state.m_scheduler.m_noticedLives) {
        logOf("executors")
            .info("event=new_life executor={} born={} earlier_born={} lease_until={} runs_lost={} runs_kept={}",
                state.m_scheduler.m_executors[life.m_executor]->m_entry.m_id, life.m_startedAtMs,
                life.m_earlierStartedAtMs, life.m_earlierLeaseUntilMs, life.m_lostRuns, life.m_keptRuns);
        state.m_ports.m_metrics->count("new_lives_total");
    }
    state.m_scheduler.m_noticedLives.clear();
}

auto giveUpCrashingTasks(CoordinatorState& state) -> void
{
    for (const auto& key : scheduling::giveUpCrashingTasks(state.m_scheduler, wallNow()))
        logOf("jobs").warn("event=given_up task={} crashes={} reason=\"executors crashed under it\"", taskText(key),
            scheduling::findTask(state.m_scheduler, key)->m_crashes);
}

auto logExhaustedJobs(const CoordinatorState& state, const std::vector<scheduling::JobId>& jobs) -> void
{
    for (const auto id : jobs) {
        const auto& job = *scheduling::findJob(state.m_scheduler, id);
        logOf("jobs").info("event=attempts_used_up job={} allowed={} rules_version={}", jobIdText(id),
            scheduling::maximumAttempts(state.m_scheduler.m_rules, job).value_or(0),
            state.m_scheduler.m_rules.m_version);
    }
}

// Applies the limits to failures that were counted while the configuration was not known or not recent enough.
auto failExhaustedJobs(CoordinatorState& state) -> void
{
    updateRulesValidity(state, monotonicNow());
    logExhaustedJobs(state, scheduling::failExhaustedJobs(state.m_scheduler, wallNow()));
}

// Plans whatever follows from the passing of time.
auto sweep(CoordinatorState& state, Instant now, std::vector<scheduling::Action>& actions) -> void
{
    auto& scheduler = state.m_scheduler;
    const auto expired = scheduling::expireLeases(scheduler, now);
    if (expired > 0)
        logOf("executors").info("event=leases_lapsed runs={}", expired);
    storeExpiredEarlierLeases(state, now);
    logNoticedLives(state);
    logLostRuns(state);
    logDroppedRuns(state);
    logFoundRuns(state);
    dropExecutorRecords(state);
    scheduling::retireJobs(scheduler);
    scheduling::evacuateZones(scheduler);
    scheduling::planStops(scheduler, now, actions);
    scheduling::observeLatencies(scheduler, now);
    scheduling::paceFillers(scheduler, now, actions);
}

auto planOnce(const std::shared_ptr<CoordinatorState>& state) -> void
{
    auto& scheduler = state->m_scheduler;
    const auto now = monotonicNow();
    std::vector<scheduling::Action> actions;
    if (now >= state->m_nextSweepAt) {
        sweep(*state, now, actions);
        state->m_nextSweepAt = now + sweepInterval;
    }
    giveUpCrashingTasks(*state);
    failExhaustedJobs(*state);
    scheduling::planStarts(scheduler, now, wallNow(), actions);
    if (!scheduler.m_dirtyJobs.empty())
        state->m_journalSignal.notify();
    // A start is sent only once its run is stored, so that a new owner knows on which executor each task may be.
    for (auto& action : actions) {
        if (action.m_kind != scheduling::ActionKind::Start)
            continue;
        // Occurrences that were delayed until this one began are opened by the next plan.
        if (scheduling::findJob(scheduler, action.m_task.m_job)->m_hasDelayedOccurrences)
            state->m_planSignal.notify();
        const auto& executor = *scheduler.m_executors[action.m_executor];
        if (scheduling::isClockReadingDue(executor, now))
            wakePolling(*state, executor.m_entry.m_id);
        state->m_pendingStarts.push_back(std::move(action));
    }
    std::erase_if(actions, [](const auto& action) { return action.m_kind == scheduling::ActionKind::Start; });
    if (!state->m_pendingStarts.empty())
        state->m_journalSignal.notify();
    sendActions(state, std::move(actions));
}

auto planContinuously(const std::shared_ptr<CoordinatorState>& state) -> asio::awaitable<void>
{
    while (!state->m_isStopped) {
        const auto startedAt = std::chrono::steady_clock::now();
        planOnce(state);
        const auto taken
            = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - startedAt);
        ++state->m_load.m_plans;
        state->m_load.m_planTime += taken;
        state->m_load.m_longestPlan = std::max(state->m_load.m_longestPlan, taken);
        co_await sleepFor(std::max(planSpacing, std::chrono::duration_cast<Duration>(taken * planningPauseFactor)));
        co_await state->m_planSignal.wait(planInterval);
    }
}

// Logs what the owner did in each second, so that a lack of processor time can be told from a lack of executors, and
// what waits although it should not.
auto logLoad(std::shared_ptr<CoordinatorState> state) -> asio::awaitable<void>
{
    while (!state->m_isStopped) {
        const auto wakeAt = monotonicNow() + loadInterval;
        co_await sleepFor(loadInterval);
        auto load = std::exchange(state->m_load, {});
        load.m_longestDelay = std::max(load.m_longestDelay, monotonicNow() - wakeAt);
        const auto& scheduler = state->m_scheduler;
        const auto busy = std::count_if(scheduler.m_activeExecutors.begin(), scheduler.m_activeExecutors.end(),
            [&](scheduling::ExecutorIndex index) { return !scheduler.m_executors[index]->m_runs.empty(); });
        logOf("owner").info("event=load polls={} polls_with_news={} polls_unanswered={} ends={} starts={} plans={} "
                            "plan_us={} longest_plan_us={} batches={} longest_batch_ms={} delay_ms={} jobs={} "
                            "busy_executors={}",
            load.m_polls, load.m_pollsWithNews, load.m_pollsUnanswered, load.m_ends, load.m_starts, load.m_plans,
            load.m_planTime.count(), load.m_longestPlan.count(), load.m_batches, load.m_longestBatch.count(),
            load.m_longestDelay.count(), scheduler.m_active.size(), busy);
        state->m_ports.m_metrics->gauge(
            "job_memory_bytes", static_cast<double>(state->m_scheduler.m_jobMemory.m_total));
        reportWaiting(*state);
        reportInterference(*state);
        reportShares(*state);
        reportZones(*state);
    }
}

// Reads submissions until a job is known, or up to the end that the topic has at the time of the call.
// Returns false when neither is reached in time.
auto readForJob(std::shared_ptr<CoordinatorState> state, scheduling::JobId id) -> asio::awaitable<bool>
{
    const auto deadline = monotonicNow() + statusReadTime;
    std::optional<std::uint64_t> end;
    while (monotonicNow() < deadline) {
        const auto from = state->m_nextSubmissionOffset;
        const auto isRead = co_await readSubmissions(*state, Duration { 0 });
        if (!isRead)
            co_return false;
        if (!end)
            end = state->m_submissionEnd;
        if (scheduling::findJob(state->m_scheduler, id) != nullptr || state->m_nextSubmissionOffset >= *end)
            co_return true;
        if (state->m_nextSubmissionOffset == from)
            co_return false;
    }
    co_return false;
}

} // namespace

Coordinator::Coordinator(asio::io_context& context, const CoordinatorPorts& ports, std::uint64_t epoch)
    : m_state(std::make_shared<CoordinatorState>(context, ports, epoch))
{
}

Coordinator::~Coordinator() = default;

auto Coordinator::start(const scheduling::FleetRules& rules) -> void
{
    m_state->m_scheduler.m_rules = rules;
    m_state->m_scheduler.m_mayFailJobs = false; // Until the state is loaded.
    m_state->m_scheduler.m_sharesPools = m_state->m_ports.m_sharesPools;
    m_state->m_scheduler.m_separatesInterference = m_state->m_ports.m_separatesInterference;
    asio::co_spawn(m_state->m_context, run(), asio::detached);
}

auto Coordinator::stop() -> void
{
    m_state->m_isStopped = true;
    m_state->m_planSignal.notify();
    m_state->m_journalSignal.notify();
    for (const auto& [id, signal] : m_state->m_pollSignals)
        signal->notify();
}

auto Coordinator::setRules(const scheduling::FleetRules& rules) -> void
{
    logExhaustedJobs(*m_state, scheduling::applyRules(m_state->m_scheduler, rules, wallNow()));
    if (m_state->m_isLoaded) {
        noteRulesVersion(*m_state);
        failExhaustedJobs(*m_state);
    }
    m_state->m_planSignal.notify();
}

auto Coordinator::addWave(const fleet::WaveState& wave) -> void { detail::addWave(*m_state, wave); }

auto Coordinator::run() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    const auto state = m_state;
    const auto startedAt = monotonicNow();
    state->m_earlierLeasesExpireBy = state->m_ports.m_earlierLeasesExpireBy;
    state->m_scheduler.m_timing.m_longestStop = state->m_ports.m_longestStop;
    state->m_scheduler.m_timing.m_longestHold = state->m_ports.m_longestHold;
    state->m_fleet.m_timing = state->m_ports.m_fleetTiming;
    const auto isLoaded = co_await loadState(state);
    if (!isLoaded)
        co_return;
    // Jobs that were loaded from the store are not part of a burst.
    state->m_scheduler.m_arrivals.clear();
    state->m_isLoaded = true;
    if (areRulesOutdated(*state))
        logOf("owner").warn("event=rules_outdated version={} needed={}", state->m_scheduler.m_rules.m_version,
            state->m_newestRulesVersion);
    noteRulesVersion(*state);
    // The earlier owner may have counted failures without a configuration.
    failExhaustedJobs(*state);
    logOf("owner").info("event=loaded epoch={} jobs={} executors={} rules_version={} took_ms={}", state->m_epoch,
        state->m_scheduler.m_jobs.size(), state->m_scheduler.m_executors.size(), state->m_scheduler.m_rules.m_version,
        (monotonicNow() - startedAt).count());
    state->m_ports.m_metrics->count("takeovers_total");
    asio::co_spawn(state->m_context, followSubmissions(state), asio::detached);
    asio::co_spawn(state->m_context, followExecutors(state), asio::detached);
    asio::co_spawn(state->m_context, writeJournal(state), asio::detached);
    asio::co_spawn(state->m_context, dropOldJobs(state), asio::detached);
    asio::co_spawn(state->m_context, logLoad(state), asio::detached);
    if (state->m_ports.m_machines != nullptr)
        asio::co_spawn(state->m_context, manageFleet(state), asio::detached);
    co_await planContinuously(state);
}

auto Coordinator::statusOf(scheduling::JobId id) -> asio::awaitable<std::optional<JobStatusResult>>
{
    const auto state = m_state;
    if (!state->m_isLoaded || state->m_isStopped)
        co_return std::nullopt;
    if (scheduling::findJob(state->m_scheduler, id) == nullptr) {
        const auto isRead = co_await readForJob(state, id);
        if (!isRead)
            co_return std::nullopt;
    }
    const auto* job = scheduling::findJob(state->m_scheduler, id);
    if (job == nullptr)
        co_return JobStatusResult {};
    // A final state is shown only once it is stored, since a new owner would otherwise revert it.
    // A cancellation is shown at once, since it was read from the store.
    const auto isShownAsIs = !scheduling::isFinal(job->m_phase) || job->m_phase == scheduling::JobPhase::Cancelled;
    const auto stored = scheduling::isFinal(job->m_durablePhase) ? job->m_durablePhase : scheduling::JobPhase::Running;
    co_return JobStatusResult { true, isShownAsIs ? job->m_phase : stored };
}

auto Coordinator::countWaitingJobs(const std::string& queue) -> std::optional<std::size_t>
{
    if (!m_state->m_isLoaded || m_state->m_isStopped)
        return std::nullopt;
    return scheduling::countWaitingJobs(m_state->m_scheduler, queue);
}

auto Coordinator::jobMemory() const -> std::optional<JobMemoryView>
{
    if (!m_state->m_isLoaded || m_state->m_isStopped)
        return std::nullopt;
    const auto limit = m_state->m_ports.m_jobMemoryLimit;
    const auto& used = m_state->m_scheduler.m_jobMemory;
    JobMemoryView view;
    view.m_left = limit - std::min(limit, used.m_total);
    for (const auto& [workspace, bytes] : used.m_byWorkspace) {
        if (bytes >= limit / listedWorkspaces)
            view.m_byWorkspace.emplace(workspace, bytes);
    }
    return view;
}

} // namespace hemlockvane::detail

#include "hemlockvane/detail/coordinator/SendActions.h"

#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/CoordinatorState.h"
#include "hemlockvane/detail/coordinator/ExecutorPolling.h"
#include "hemlockvane/detail/coordinator/Journal.h"
#include "hemlockvane/detail/coordinator/LeaseDeadline.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/logging/OutcomeNames.h"
#include "hemlockvane/detail/metrics/Metrics.h"
#include "hemlockvane/detail/ports/AdvicePort.h"
#include "hemlockvane/detail/ports/ExecutorPort.h"
#include "hemlockvane/scheduling/BlameCrashes.h"
#include "hemlockvane/scheduling/CheckStart.h"
#include "hemlockvane/scheduling/Evacuate.h"
#include "hemlockvane/scheduling/ExecutorClock.h"
#include "hemlockvane/scheduling/MeasureStartDelay.h"
#include "hemlockvane/scheduling/RequestAdvice.h"
#include "hemlockvane/scheduling/TrackExecutors.h"
#include "hemlockvane/scheduling/TrackJobs.h"
#include "hemlockvane/scheduling/TrackRuns.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr int startAttempts = 3; // A repeated start is the same run; usually only one call loses its answer.
constexpr Duration unansweredBackoff { 400 }; // Until a poll shows whether the executor is unresponsive.
// A start may wait this long in the sender: after it, the executor has sent a newer report than the one that the start
// was planned with.
constexpr Duration longestStartWait { 1000 };
constexpr Duration clockCheckInterval { 5 }; // While a start waits for a reading of its executor's clock.

auto makeStartRequest(CoordinatorState& state, const scheduling::Action& action, std::int64_t deadlineMs)
    -> StartRequest
{
    const auto* job = scheduling::findJob(state.m_scheduler, action.m_task.m_job);
    const auto* task = scheduling::findTask(state.m_scheduler, action.m_task);
    StartRequest request;
    request.m_task = action.m_task;
    request.m_run = action.m_run;
    request.m_payload = job->m_spec.m_payload;
    request.m_fencingToken = fencingTokenFor(state, action.m_executor);
    request.m_checkpoint = task->m_checkpoint;
    request.m_ticket = action.m_ticket;
    request.m_deadlineMs = deadlineMs;
    return request;
}

// Applies a start that is not sent, since no lease may be granted: its task is planned again.
auto abandonStart(CoordinatorState& state, const scheduling::Action& action, Instant now) -> void
{
    logOf("orders").warn("event=start_given_up task={} run={} executor={} reason=\"no lease may be granted\"",
        taskText(action.m_task), action.m_run, state.m_scheduler.m_executors[action.m_executor]->m_entry.m_id);
    scheduling::applyStartAnswer(state.m_scheduler, action.m_executor, action.m_task, action.m_run,
        scheduling::StartAnswer::Refused, false, now);
    state.m_planSignal.notify();
}

// Why a start must not be sent any more; empty if it may be sent.
auto obstacleToSending(CoordinatorState& state, const scheduling::Action& action, std::int64_t startedAtMs,
    std::int64_t deadlineMs, Instant since) -> std::string_view
{
    const auto now = monotonicNow();
    if (state.m_isStopped)
        return "ownership ended";
    const auto obstacle = scheduling::obstacleToStart(state.m_scheduler, action, startedAtMs, now);
    if (!obstacle.empty())
        return obstacle;
    const auto& executor = *state.m_scheduler.m_executors[action.m_executor];
    if (!leaseDeadline(state, executor, now))
        return "no lease may be granted";
    const auto clockMs = executor.m_clockMs + (now - executor.m_clockReadAt).count();
    return now - since > longestStartWait || clockMs >= deadlineMs ? "waited too long" : "";
}

// Waits for the answer to the poll that was sent when the start was decided, if the reading before it is too old.
auto awaitClockReading(std::shared_ptr<CoordinatorState> state, const scheduling::Executor& executor)
    -> asio::awaitable<void>
{
    const auto lease = state->m_scheduler.m_timing.m_lease;
    const auto until = monotonicNow() + longestStartWait;
    if (scheduling::isClockReadingNeeded(executor, lease, monotonicNow()))
        wakePolling(*state, executor.m_entry.m_id);
    for (auto now = monotonicNow(); now < until && !state->m_isStopped && !executor.m_isUnresponsive
         && scheduling::isClockReadingNeeded(executor, lease, now);
         now = monotonicNow())
        co_await sleepFor(clockCheckInterval);
}

// A life that the registry has not shown yet may have carried the start out.
auto noteStartClock(CoordinatorState& state, const scheduling::Action& action, std::int64_t clockMs,
    std::int64_t earlierClockMs) -> void
{
    if (!scheduling::noteStartClock(state.m_scheduler, action.m_executor, clockMs, earlierClockMs, monotonicNow()))
        return;
    logOf("executors")
        .info("event=other_clock executor={} clock={} earlier_clock={}",
            state.m_scheduler.m_executors[action.m_executor]->m_entry.m_id, clockMs, earlierClockMs);
    storeExecutor(state, action.m_executor);
    state.m_journalSignal.notify();
}

auto sendStart(std::shared_ptr<CoordinatorState> state, scheduling::Action action) -> asio::awaitable<void>
{
    auto& executor = *state->m_scheduler.m_executors[action.m_executor];
    const auto orderedAt = monotonicNow();
    co_await awaitClockReading(state, executor);
    // Meanwhile the run may have been given up.
    if (scheduling::findRun(state->m_scheduler, action.m_task, action.m_run, action.m_executor) == nullptr)
        co_return;
    const auto sentAt = monotonicNow();
    const auto clockAge = sentAt - executor.m_clockReadAt;
    const auto deadlineMs = leaseDeadline(*state, executor, sentAt);
    if (!deadlineMs) {
        abandonStart(*state, action, sentAt);
        co_return;
    }
    auto request = makeStartRequest(*state, action, *deadlineMs);
    executor.m_leaseUntilMs = std::max(executor.m_leaseUntilMs, request.m_deadlineMs);
    const auto startedAtMs = executor.m_entry.m_startedAtMs;
    request.m_onAnswer = [&, earlierClockMs = executor.m_clockMs](std::int64_t clockMs) {
        if (!state->m_isStopped && executor.m_entry.m_startedAtMs == startedAtMs)
            noteStartClock(*state, action, clockMs, earlierClockMs);
    };
    std::string_view obstacle;
    const std::function<bool()> check = [&] {
        obstacle = obstacleToSending(*state, action, startedAtMs, request.m_deadlineMs, sentAt);
        if (obstacle.empty())
            scheduling::noteStartSent(state->m_scheduler, action, monotonicNow());
        return obstacle.empty();
    };
    auto answer = scheduling::StartAnswer::NotSent;
    auto wasRepeated = false;
    for (int attempt = 0; attempt < startAttempts; ++attempt) {
        auto mayBeSent = check;
        const auto newAnswer = co_await state->m_ports.m_executors->start(
            executor.m_entry.m_address, executor.m_entry.m_id, request, std::move(mayBeSent));
        // A repeat that was not sent leaves the outcome of the request before it unknown.
        if (newAnswer == scheduling::StartAnswer::NotSent)
            break;
        wasRepeated = attempt > 0;
        answer = newAnswer;
        if (answer != scheduling::StartAnswer::Unknown || state->m_isStopped)
            break;
        executor.m_backoffUntil = std::max(executor.m_backoffUntil, monotonicNow() + unansweredBackoff);
        scheduling::noteStartUnanswered(state->m_scheduler, action, monotonicNow());
    }
    if (state->m_isStopped)
        co_return;
    ++state->m_load.m_starts;
    logOf("orders").info("event=start task={} run={} executor={} born={} used_cpu={} reason=\"{}\" answer={} "
                         "obstacle=\"{}\" took_ms={} lease_until={} clock_age_ms={}",
        taskText(action.m_task), action.m_run, executor.m_entry.m_id, startedAtMs, executor.m_used.m_cpuMilliCores,
        action.m_reason, nameOf(answer), obstacle, (monotonicNow() - orderedAt).count(), request.m_deadlineMs,
        clockAge.count());
    state->m_ports.m_metrics->count("starts_total{answer=\"" + std::string(nameOf(answer)) + "\"}");
    // The executor whose life has ended is no other one: nothing was done.
    if (executor.m_entry.m_startedAtMs != startedAtMs && answer == scheduling::StartAnswer::OtherIncarnation)
        answer = scheduling::StartAnswer::Refused;
    if (answer == scheduling::StartAnswer::NotSent && monotonicNow() - sentAt > longestStartWait)
        executor.m_backoffUntil = std::max(executor.m_backoffUntil, monotonicNow() + unansweredBackoff);
    scheduling::applyStartAnswer(
        state->m_scheduler, action.m_executor, action.m_task, action.m_run, answer, wasRepeated, monotonicNow());
    wakePolling(*state, executor.m_entry.m_id);
    if (answer != scheduling::StartAnswer::Started || state->m_scheduler.m_startFlow.m_isLimited)
        state->m_planSignal.notify();
}

// Whether the run may still be active on its executor and no stop of it has been answered.
auto isStopWanted(CoordinatorState& state, const scheduling::Action& action) -> bool
{
    const auto* run = scheduling::findRun(state.m_scheduler, action.m_task, action.m_run, action.m_executor);
    return run != nullptr && run->m_phase == scheduling::RunPhase::Stopping && !run->m_stopAnsweredAt;
}

auto wasStopSent(CoordinatorState& state, const scheduling::Action& action) -> bool
{
    return scheduling::findRun(state.m_scheduler, action.m_task, action.m_run, action.m_executor)->m_wasStopSent;
}

auto noteStopSent(CoordinatorState& state, const scheduling::Action& action, bool wasSent) -> void
{
    if (auto* run = scheduling::findRun(state.m_scheduler, action.m_task, action.m_run, action.m_executor))
        run->m_wasStopSent = wasSent;
}

auto sendStop(std::shared_ptr<CoordinatorState> state, scheduling::Action action) -> asio::awaitable<void>
{
    auto& executor = *state->m_scheduler.m_executors[action.m_executor];
    const auto startedAtMs = executor.m_entry.m_startedAtMs;
    const auto isKnown = isStopWanted(*state, action);
    const auto wasSent = isKnown && wasStopSent(*state, action);
    // A run that the scheduler does not know was reported by its executor, and is stopped for that.
    std::function<bool()> mayBeSent = [state, &action, &executor, startedAtMs, isKnown, wasSent] {
        if (state->m_isStopped || executor.m_entry.m_startedAtMs != startedAtMs || hasNewerOwner(*state, executor))
            return false;
        if (!isKnown)
            return true;
        if (!isStopWanted(*state, action) || !scheduling::confirmStop(state->m_scheduler, action, wasSent))
            return false;
        noteStopSent(*state, action, true);
        return true;
    };
    const auto outcome = co_await state->m_ports.m_executors->stop(executor.m_entry.m_address, executor.m_entry.m_id,
        action.m_task, action.m_run, fencingTokenFor(*state, action.m_executor), std::move(mayBeSent));
    if (state->m_isStopped)
        co_return;
    if (outcome == CallOutcome::NotSent && !wasSent)
        noteStopSent(*state, action, false);
    logOf("orders").info("event=stop task={} run={} executor={} born={} reason=\"{}\" outcome={}",
        taskText(action.m_task), action.m_run, executor.m_entry.m_id, startedAtMs, action.m_reason, nameOf(outcome));
    if (outcome == CallOutcome::Answered && executor.m_entry.m_startedAtMs == startedAtMs)
        scheduling::applyStopAnswer(state->m_scheduler, action.m_executor, action.m_task, action.m_run, monotonicNow());
    wakePolling(*state, executor.m_entry.m_id);
}

auto sendPace(std::shared_ptr<CoordinatorState> state, scheduling::Action action) -> asio::awaitable<void>
{
    auto& executor = *state->m_scheduler.m_executors[action.m_executor];
    if (hasNewerOwner(*state, executor))
        co_return;
    const auto outcome = co_await state->m_ports.m_executors->pace(executor.m_entry.m_address, executor.m_entry.m_id,
        action.m_task, action.m_run, action.m_percent, fencingTokenFor(*state, action.m_executor));
    logOf("orders").info("event=pace task={} run={} executor={} percent={} reason=\"{}\" outcome={}",
        taskText(action.m_task), action.m_run, executor.m_entry.m_id, action.m_percent, action.m_reason,
        nameOf(outcome));
}

auto requestAdvice(std::shared_ptr<CoordinatorState> state, scheduling::Action action) -> asio::awaitable<void>
{
    const auto askedAt = monotonicNow();
    const auto answer = co_await state->m_ports.m_advice->ask(action.m_task, action.m_candidates);
    if (state->m_isStopped)
        co_return;
    logOf("advice").info("event=advice step={} asked={} good={} valid_ms={} took_ms={}", taskText(action.m_task),
        action.m_candidates.size(), answer ? static_cast<int>(answer->m_tickets.size()) : -1,
        answer ? answer->m_validFor.count() : 0, (monotonicNow() - askedAt).count());
    if (answer)
        scheduling::applyAdvice(state->m_scheduler, action.m_task, answer->m_tickets, answer->m_validFor, askedAt);
    else
        scheduling::applyMissingAdvice(state->m_scheduler, action.m_task, monotonicNow());
    state->m_planSignal.notify();
}

} // namespace

auto sendActions(const std::shared_ptr<CoordinatorState>& state, std::vector<scheduling::Action> actions) -> void
{
    for (auto& action : actions) {
        const auto send = action.m_kind == scheduling::ActionKind::Start ? sendStart
            : action.m_kind == scheduling::ActionKind::Stop              ? sendStop
            : action.m_kind == scheduling::ActionKind::Pace              ? sendPace
                                                                         : requestAdvice;
        asio::co_spawn(state->m_context, send(state, std::move(action)), asio::detached);
    }
}

} // namespace hemlockvane::detail

#pragma once

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/DropReason.h"
#include "hemlockvane/scheduling/ExecutorEntry.h"
#include "hemlockvane/scheduling/ExecutorReport.h"
#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane::scheduling {

struct Executor;
struct Scheduler;
struct SchedulerTiming;

/// @brief Adds or updates an executor from its registry entry. A newer start time under a known id removes the runs
/// that ended with the earlier life; those whose start the new one may have received are kept until it has answered.
/// @param earlierLeasesExpireBy time by which all leases granted by earlier owners have expired
/// @result index of the executor
auto registerExecutor(Scheduler& scheduler, const ExecutorEntry& entry, Instant earlierLeasesExpireBy, Instant now)
    -> ExecutorIndex;

/// @brief Makes plans look at an executor, until it is retired.
auto activateExecutor(Scheduler& scheduler, ExecutorIndex index) -> void;

/// @brief Notes that requests meant for an earlier life of an executor may have extended the lease of the present one.
///
/// Their deadlines are times on another clock, and may be far in the future of its own: the lease may be as long as an
/// executor allows, from the last of these requests on. The first answer to a request that is meant for the present
/// life shows that the others are refused from then on.
/// @param latestRequestAt latest time at which one of them that matters to a run may be carried out without that answer
auto expectEarlierLease(const SchedulerTiming& timing, Executor& executor, Instant latestRequestAt) -> void;

/// @brief Handles the clock in the answer to a start: one that is behind an earlier reading is that of another life,
/// which took a deadline on the earlier one's clock. No task is started there until it has answered a poll.
/// @param earlierClockMs reading of the clock when the start was sent
/// @result whether it is another life
auto noteStartClock(
    Scheduler& scheduler, ExecutorIndex index, std::int64_t clockMs, std::int64_t earlierClockMs, Instant now) -> bool;

/// @brief Finds the executors on which such a lease, if there was one, has expired by now.
/// @result those that were not known to be so before
auto forgetEarlierLeases(Scheduler& scheduler, Instant now) -> std::vector<ExecutorIndex>;

/// @brief Retires the executors that are not registered and have neither runs nor ended runs to acknowledge. Machines
/// that move get a new executor each time, so the others are few among all that were ever registered.
/// @result the executors that were retired
auto retireExecutors(Scheduler& scheduler) -> std::vector<ExecutorIndex>;

/// @brief Handles an executor without a readable entry: no task is started there any more; runs stay until they end or
/// their lease expires.
auto unregisterExecutor(Scheduler& scheduler, std::string_view id) -> void;

/// @brief Handles the removal of an executor's entry: as `unregisterExecutor`, and the executor has left or was silent.
auto noteEntryRemoved(Scheduler& scheduler, std::string_view id, Instant now) -> void;

/// @brief Whether something that was learnt since its present life may show that an executor can carry out nothing any
/// more: it does not answer, and the registry has removed its entry. By itself this is only silence, and its runs may
/// go on.
[[nodiscard]] auto mayBeLost(const Executor& executor) -> bool;

/// @brief Removes the runs of such an executor at once, also those whose start may have reached one of several lives.
/// The caller must be certain that its machine is down, does not exist any more, or has another executor.
/// What crashed it is left open, since the starts without an answer may never have been carried out.
/// @result number of runs removed
auto removeLostRuns(Scheduler& scheduler, ExecutorIndex index, Instant now) -> std::size_t;

/// @brief Marks an executor's incarnation as ended and removes its runs. The caller must be certain that it has ended.
/// @param reason what showed it
auto markTerminated(
    Scheduler& scheduler, ExecutorIndex index, Instant now, DropReason reason = DropReason::OtherIncarnation) -> void;

/// @brief Applies an executor's answer to a poll. A newer start time removes the runs that ended with the earlier life,
/// and no task is started there until the registry shows it. Nothing is concluded from what is missing in an incomplete
/// answer.
/// @param actions receives stops for runs of unknown tasks
auto applyReport(Scheduler& scheduler, ExecutorIndex index, const ExecutorReport& report, Instant now, WallMillis wall,
    std::vector<Action>& actions) -> void;

/// @brief Removes the runs of unresponsive executors whose leases have certainly expired.
/// @result number of runs removed
auto expireLeases(Scheduler& scheduler, Instant now) -> std::size_t;

/// @brief Notes that the journal is stored up to a batch, so that executors may discard the ended runs in it.
/// @result executors of which all reported ends are stored now
auto markBatchStored(Scheduler& scheduler, std::uint64_t batch) -> std::vector<ExecutorIndex>;

/// @brief What keeps starts from the executor, whatever the task.
/// @result a word for the logs; empty if tasks may be started there
[[nodiscard]] auto obstacleToStarts(const Executor& executor, Instant now) -> std::string_view;

/// @brief Whether tasks may be started on the executor.
auto isSchedulable(const Executor& executor, Instant now) -> bool;

/// @brief Whether the executor's capacity is known well enough for a start. An executor that does not check it by
/// itself may have shrunk since the registry was last read.
auto isCapacityKnown(const Scheduler& scheduler, const Executor& executor, Instant now) -> bool;

/// @brief Whether the capacities of a service's executors are known well enough for a start.
auto isCapacityKnown(const Scheduler& scheduler, const std::string& service, Instant now) -> bool;

/// @brief Emits a stop for each run that must be stopped and is due for a (repeated) request.
auto planStops(Scheduler& scheduler, Instant now, std::vector<Action>& actions) -> void;

} // namespace hemlockvane::scheduling

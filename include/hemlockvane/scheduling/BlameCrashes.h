#pragma once

#include "hemlockvane/scheduling/JobPhase.h"
#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/scheduling/TaskKey.h"
#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <span>
#include <vector>

namespace hemlockvane::scheduling {

struct Action;
struct EndedLife;
struct Executor;
struct ExecutorRun;
struct Scheduler;
struct TaskState;

/// @brief Time after its start within which a task that crashes its executor is expected to do so.
constexpr Duration trialTime { 150 };

/// @brief Finds the task that crashed an executor, from the runs that are lost with it.
///
/// The tasks that were started last are the suspects. A suspect is started again on trial: for `trialTime` nothing else
/// is started beside it, so that a second crash has one suspect only. A task with two crashes is given up if it is the
/// only suspect of the second one; otherwise with a larger number, in which starts without an answer count too if their
/// executor has certainly ended. Silence alone gives nothing up.
/// To be called before the runs are removed.
/// @param lost the runs that are lost
/// @param life how the executor's life has ended, or may have ended
/// @param isCertain false if the executor is only silent, so that its crash is merely possible
auto blameCrash(Scheduler& scheduler, ExecutorIndex index, std::span<const ExecutorRun> lost, const EndedLife& life,
    bool isCertain) -> void;

/// @brief Whether an end of the executor's present life is a crash: neither ordered nor announced.
[[nodiscard]] auto isCrash(const Executor& executor) -> bool;

/// @brief Whether one of the runs would be suspected of a crash.
[[nodiscard]] auto hasSuspects(
    Scheduler& scheduler, ExecutorIndex index, std::span<const ExecutorRun> runs, Instant lostSince) -> bool;

/// @brief Withdraws what was counted for a silent executor, which has answered again.
auto withdrawBlame(Scheduler& scheduler, ExecutorIndex index) -> void;

/// @brief Counts as certain what was counted for a silent executor, which is now known to have ended.
auto confirmBlame(Scheduler& scheduler, ExecutorIndex index) -> void;

/// @brief Leaves open whether a silent executor has crashed, since nothing more will be heard of it.
auto forgetSilence(Scheduler& scheduler, ExecutorIndex index) -> void;

/// @brief Fails the jobs whose tasks were found to crash executors.
/// @result the tasks that were given up
auto giveUpCrashingTasks(Scheduler& scheduler, WallMillis wall) -> std::vector<TaskKey>;

/// @brief Marks an executor as unresponsive.
/// @param lostSince earliest time at which it may have crashed
auto markUnresponsive(Executor& executor, Instant lostSince) -> void;

/// @brief Notes that the request for a start is about to be written.
auto noteStartSent(Scheduler& scheduler, const Action& start, Instant now) -> void;

/// @brief Whether a task may be started on trial only. True also while it is not known yet whether an executor that
/// stopped answering just after the task's start has crashed.
[[nodiscard]] auto needsTrial(const Scheduler& scheduler, const TaskState& task) -> bool;

/// @brief Whether a task must not be started until it is known whether a second executor has crashed under it.
[[nodiscard]] auto isHeldBack(const Scheduler& scheduler, const TaskState& task) -> bool;

/// @brief Whether a task is on trial on the executor, so that nothing else may be started there.
[[nodiscard]] auto hasTrial(Scheduler& scheduler, const Executor& executor, Instant now) -> bool;

/// @brief Whether a start on the executor is pending or was sent less than `trialTime` ago, so that a crash would not
/// show whether a task on trial is its cause.
[[nodiscard]] auto hasRecentStart(Scheduler& scheduler, ExecutorIndex index, Instant now) -> bool;

/// @brief Ends a task's trial if one of its runs outlived it.
/// @param aliveAt time at which the run was certainly at work
auto endTrial(TaskState& task, const TaskRun& run, Instant aliveAt) -> void;

} // namespace hemlockvane::scheduling

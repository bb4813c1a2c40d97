#pragma once

#include "hemlockvane/scheduling/Action.h"
#include "hemlockvane/scheduling/ExecutorEntry.h"
#include "hemlockvane/scheduling/ExecutorReport.h"
#include "hemlockvane/scheduling/TaskRun.h"
#include "hemlockvane/time/Time.h"

#include <string_view>
#include <vector>

namespace hemlockvane::scheduling {

struct Executor;
struct Scheduler;

/// @brief Takes in what an executor says of itself; another start under a known id loses all that ran there.
/// @param earlierLeasesExpireBy when leases given there by earlier owners must have lapsed
/// @result its index
auto registerExecutor(Scheduler& scheduler, const ExecutorEntry& entry, Instant earlierLeasesExpireBy, Instant now)
    -> ExecutorIndex;

/// @brief An executor's entry is gone: nothing is started there; what runs is held until it ends or its lease does.
auto unregisterExecutor(Scheduler& scheduler, std::string_view id) -> void;

/// @brief It is certain that an executor's incarnation is no more: its runs are gone.
auto markTerminated(Scheduler& scheduler, ExecutorIndex index) -> void;

/// @brief Applies an executor's answer to a poll.
/// @param actions receives stops for runs that nothing is known of
auto applyReport(Scheduler& scheduler, ExecutorIndex index, const ExecutorReport& report, Instant now, WallMillis wall,
    std::vector<Action>& actions) -> void;

/// @brief Removes the runs of silent executors whose leases must have lapsed by now.
/// @result number of runs removed
auto expireLeases(Scheduler& scheduler, Instant now) -> std::size_t;

/// @brief Everything up to a journal batch is stored: ends in it may be forgotten by their executors.
auto markBatchStored(Scheduler& scheduler, std::uint64_t batch) -> void;

/// @brief An executor's clock, at the least.
auto clockLowerBound(const Executor& executor, Instant now) -> std::int64_t;

/// @brief True when tasks may be started on the executor.
auto isSchedulable(const Executor& executor, Instant now) -> bool;

/// @brief Sends stops that are due.
auto planStops(Scheduler& scheduler, Instant now, std::vector<Action>& actions) -> void;

} // namespace hemlockvane::scheduling

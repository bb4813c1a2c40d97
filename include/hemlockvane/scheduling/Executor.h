#pragma once

#include "hemlockvane/scheduling/EndedLife.h"
#include "hemlockvane/scheduling/ExecutorEntry.h"
#include "hemlockvane/scheduling/ExecutorRun.h"
#include "hemlockvane/scheduling/SilentSuspect.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief The scheduler's state of one executor.
struct Executor {
    ExecutorEntry m_entry;
    std::uint32_t m_entryVersion = 1; ///< Rises when the registry shows another entry.
    std::string m_rack;
    std::uint32_t m_lifeNumber = 0; ///< Number of its lives that ended before this one, as far as this owner knows.
    Instant m_lifeNoticedAt; ///< When this owner learnt of its present life.
    bool m_mayHoldEarlierLease
        = false; ///< A request meant for an earlier life may have extended the present one's lease.
    bool m_isRegistered = true; ///< The registry shows this incarnation.
    std::optional<Instant> m_entryRemovedAt; ///< When the registry was found to have removed its entry.
    bool m_isActive = false; ///< Listed in `Scheduler::m_activeExecutors`.
    std::uint64_t m_activation = 0; ///< Number of its last activation; order of `Scheduler::m_activeExecutors`.
    bool m_isTerminated = false; ///< This incarnation has certainly ended.
    bool m_isReconciled = false; ///< Its runs are known: it answered a poll meant for this life, or it has terminated.
    std::optional<Instant> m_firstAnsweredAt; ///< From then on its present life refuses requests of earlier owners.
    Instant m_earlierLeasesExpireBy; ///< By then leases granted by earlier owners, or to earlier lives, have expired.
    bool m_isUnresponsive = false; ///< The last poll was not answered.
    std::optional<Instant>
        m_epochRefusedAt; ///< When it last refused this owner's epoch, since it had seen a newer one.
    Instant m_lostSince; ///< While it is unresponsive: earliest time at which it may have crashed.
    std::vector<SilentSuspect> m_suspectsOfSilence; ///< Tasks whose crashes were counted because its leases expired.
    std::optional<EndedLife> m_endedLife; ///< Set while it is not known whether some runs ended with an earlier life.
    std::optional<ExecutorRun> m_trial; ///< The run that was started on trial last.
    bool m_isReserved = false; ///< Reserved for a move or maintenance of its machine: no task is started there.
    bool m_isZoneEvacuated = false; ///< Its availability zone is evacuated: no task is started there.
    Instant m_coldUntil; ///< It is slow until then, having started recently.
    bool m_isLeaving = false; ///< Its machine accepted an order that ends the executor: no task is started there.
    bool m_isMaintenanceDue
        = false; ///< Its machine is due for maintenance soon: tasks are placed elsewhere if possible.
    Instant m_backoffUntil; ///< No task is started there before this time, after failures or refusals.
    std::uint32_t m_consecutiveFailures = 0; ///< Failed runs of different jobs since the last successful run.
    JobId m_lastFailedJob = 0;

    Resources m_used; ///< Resources reserved by all its runs; a filler reserves no processor.
    std::vector<ExecutorRun> m_runs; ///< The job of each one is known: `dropJob` keeps jobs with runs.
    std::uint32_t m_activeLongRunningRuns = 0; ///< Number of runs in `m_runs` that belong to long-running tasks.

    std::uint32_t m_fillerRuns = 0; ///< Number of runs in `m_runs` that belong to fillers.
    std::map<std::string, std::uint32_t> m_images; ///< Number of runs in `m_runs` by image, of tasks that name one.
    Instant m_sampledAt; ///< When its tasks were last measured for interference.
    bool m_hasStoppingRuns = false; ///< A run in `m_runs` may have to be stopped.
    std::int64_t m_clockMs = 0; ///< Lower bound of the executor's clock at `m_clockReadAt`, in ms.
    Instant m_clockReadAt;
    std::int64_t m_earlierLeaseUntilMs = 0; ///< Latest deadline by a request meant for an earlier life; 0: not known.
    std::int64_t m_leaseUntilMs = 0; ///< Latest deadline that its lease may have, on the executor's clock.
    std::uint64_t m_acknowledgedEnd = 0; ///< Ended runs up to this number are stored; the executor may discard them.
    std::uint64_t m_appliedEnd = 0; ///< Ended runs up to this number have been applied.
    std::deque<std::pair<std::uint64_t, std::uint64_t>>
        m_unacknowledgedEnds; ///< Number of an ended run and the journal batch that contains it.
};

} // namespace hemlockvane::scheduling

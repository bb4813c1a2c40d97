#pragma once

#include "hemlockvane/scheduling/ExecutorEntry.h"
#include "hemlockvane/scheduling/ExecutorRun.h"
#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief One executor as the scheduler sees it.
struct Executor {
    ExecutorEntry m_entry;
    std::string m_rack;
    bool m_isRegistered = true;
    bool m_isTerminated = false; ///< It is certain that this incarnation is no more.
    bool m_isReconciled = false; ///< It answered under this owner's epoch, or its leases from before must have lapsed.
    Instant m_earlierLeasesExpireBy; ///< When leases given by earlier owners must have lapsed.
    bool m_isUnresponsive = false; ///< Its last calls were not answered.
    bool m_isReserved = false; ///< Set aside for a move or an upkeep: nothing is placed there.
    bool m_isMaintenanceDue
        = false; ///< Its machine is to have its upkeep soon: lasting tasks go elsewhere if they can.
    Instant m_backoffUntil; ///< Nothing is placed there before, after it failed what it was given.
    std::uint32_t m_consecutiveFailures = 0; ///< Ends failed, of different jobs, since the last end done.
    JobId m_lastFailedJob = 0;

    Resources m_used; ///< Needs of all its runs, fillers' processors left out.
    std::vector<ExecutorRun> m_runs;
    std::uint32_t m_activeLongRunningRuns = 0; ///< Those of `m_runs` that run until their job is cancelled.

    std::int64_t m_clockMs = 0; ///< Its clock at `m_clockReadAt`, at the least.
    Instant m_clockReadAt;
    std::int64_t m_leaseUntilMs = 0; ///< Latest deadline sent, on its clock.
    std::uint64_t m_acknowledgedEnd = 0; ///< Ends up to here are stored with us.
    std::uint64_t m_appliedEnd = 0; ///< Ends up to here were applied.
    std::deque<std::pair<std::uint64_t, std::uint64_t>>
        m_unacknowledgedEnds; ///< Number of an end and the journal batch that holds it.
};

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::scheduling {

/// @brief Time-outs and intervals of the scheduler.
struct SchedulerTiming {
    Duration m_lease { 4000 }; ///< Outlasts a change of owner: about 1.5 s to detect it and 1 s to poll all executors.
    Duration m_leaseSlack { 400 }; ///< Added to the end of a lease before its tasks may run elsewhere.
    /// Executors shorten longer leases to this. A deadline on the clock of an earlier life may be far in the future of
    /// the present one.
    Duration m_longestHold { 10000 };
    /// A request that got no answer may be carried out up to this much later: the longest delay of `applied_late`,
    /// which the users' bench lists; their pages say seconds.
    Duration m_latestArrival { 12000 };
    Duration m_longestStop { 1000 }; ///< From the request to stop a run to its end.
    Duration m_stopRetryInterval { 300 }; ///< Interval at which the stop of a run is sent again until answered.
    Duration m_failureBackoff { 3000 }; ///< For an executor whose runs of different jobs fail.
    Duration m_adviceRetry { 150 }; ///< Pause after a request to the advice service that approved no executor.
    Duration m_placementMargin { 150 }; ///< Allowance for requests and reports when judging whether a job is in time.
};

} // namespace hemlockvane::scheduling

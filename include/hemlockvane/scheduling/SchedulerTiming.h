#pragma once

#include "hemlockvane/time/Time.h"

namespace hemlockvane::scheduling {

/// @brief Times of the scheduler.
struct SchedulerTiming {
    Duration m_lease { 4000 }; ///< Outlives a change of owner: about 1.5 s to notice and 1 s to poll around.
    Duration m_leaseSlack { 400 }; ///< Added to a lease's end before its task may run elsewhere.
    Duration m_stopRetryInterval { 300 }; ///< Between two stops of one run that stays.
    Duration m_failureBackoff { 3000 }; ///< For an executor that fails all that it starts.
    Duration m_adviceRetry { 150 }; ///< After a question that got no good executor.
    Duration m_placementMargin { 150 }; ///< Time kept for orders and reports when judging whether a job can be in time.
};

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/ExecutorEntry.h"

namespace hemlockvane::detail {

/// @brief What the journal holds of an executor.
struct StoredExecutor {
    scheduling::ExecutorEntry m_entry;
    bool m_mayHoldEarlierLease = false; ///< A request meant for an earlier life may have extended its lease.
    bool m_mayGetEarlierRequests = false; ///< It had not answered a request meant for its present life.
};

} // namespace hemlockvane::detail

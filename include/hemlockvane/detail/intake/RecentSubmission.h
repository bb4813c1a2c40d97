#pragma once

#include "hemlockvane/scheduling/JobSpec.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane::detail {

/// @brief What an instance knows of the requests that submitted one job through it.
struct RecentSubmission {
    scheduling::JobId m_id = 0;
    Instant m_usedAt; ///< Time of the last request or outcome.
    std::size_t m_openRequests = 0; ///< Without an outcome so far.
    bool m_isStored = false;
    bool m_mayBeStored = false; ///< A request ended with an unknown outcome.
};

} // namespace hemlockvane::detail

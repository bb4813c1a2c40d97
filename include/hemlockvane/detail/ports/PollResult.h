#pragma once

#include "hemlockvane/detail/ports/CallOutcome.h"
#include "hemlockvane/scheduling/ExecutorReport.h"

namespace hemlockvane::detail {

/// @brief The answer to a poll.
struct PollResult {
    CallOutcome m_outcome = CallOutcome::Unknown;
    scheduling::ExecutorReport m_report; ///< Valid if answered.
};

} // namespace hemlockvane::detail

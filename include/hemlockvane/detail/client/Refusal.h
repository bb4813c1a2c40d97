#pragma once

#include "hemlockvane/errors/FailureReason.h"

namespace hemlockvane::detail {

/// @brief A refusal by an entry; see docs/errors.md.
struct Refusal {
    FailureReason m_reason;
    bool m_guaranteesNotRun = false; ///< The request was certainly not run.
    bool m_isRetryable = false; ///< The same request may succeed later.
};

} // namespace hemlockvane::detail

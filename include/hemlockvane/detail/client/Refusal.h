#pragma once

#include "hemlockvane/errors/LastReason.h"

namespace hemlockvane::detail {

/// @brief What an entry's refusal says; see docs/errors.md.
struct Refusal {
    LastReason m_reason;
    bool m_claimsNotRun = false; ///< The request was certainly not run.
    bool m_retrySensible = false; ///< The same request may succeed later.
};

} // namespace hemlockvane::detail

#pragma once

#include "hemlockvane/detail/intake/IntakeOutcome.h"

#include <functional>
#include <optional>
#include <string>

namespace hemlockvane::detail {

/// @brief A submission or cancellation that is not known to be stored yet.
struct PendingSubmission {
    std::string m_record; ///< Encoded record.
    bool m_isInFlight = false; ///< Part of an append without an answer so far.
    bool m_mayBeStored = false; ///< Part of an earlier append that got no answer.
    std::optional<IntakeOutcome> m_outcome;
    std::function<void()> m_onOutcome; ///< Called once the outcome is set.
};

} // namespace hemlockvane::detail

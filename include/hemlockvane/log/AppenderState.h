#pragma once

#include "hemlockvane/log/AppenderLimits.h"
#include "hemlockvane/log/PendingAppend.h"
#include "hemlockvane/log/PendingOperation.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief Operations on their way into the log, bounded and rate-limited.
struct AppenderState {
    AppenderLimits m_limits;
    std::map<std::string, PendingOperation, std::less<>> m_operations; ///< By id.
    std::deque<std::string> m_waiting; ///< Ids for the next appends; given-up ones are skipped.
    std::optional<PendingAppend> m_inFlight;
    std::vector<PendingAppend> m_unconfirmed; ///< Answered or lost, not yet read back; without their records.
    std::uint64_t m_lastNumber = 0;
    double m_tokens = 0;
    Instant m_refilledAt;
    std::optional<Instant> m_failingSince; ///< Start of the first of the appends that failed in a row.
    Instant m_lastFailureAt;
};

} // namespace hemlockvane

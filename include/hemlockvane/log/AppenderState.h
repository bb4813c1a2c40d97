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

/// @brief Operations that are to be appended to the log or wait to be read back; bounded and rate-limited.
struct AppenderState {
    AppenderLimits m_limits;
    std::map<std::string, PendingOperation, std::less<>> m_operations; ///< By id.
    std::deque<std::string> m_waiting; ///< Ids for the next appends, in order; completed ones are skipped.
    std::optional<PendingAppend> m_inFlight;
    std::vector<PendingAppend> m_unconfirmed; ///< Finished or timed out, but not read back yet; without their records.
    std::uint64_t m_lastNumber = 0;
    double m_tokens = 0; ///< Of the token bucket; an append takes one.
    Instant m_refilledAt;
    std::optional<Instant> m_failingSince; ///< When the first append of the current series of failures was sent.
    Instant m_lastFailureAt;
};

} // namespace hemlockvane

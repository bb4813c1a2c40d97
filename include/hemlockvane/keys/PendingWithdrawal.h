#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <set>
#include <string>

namespace hemlockvane {

/// @brief A withdrawal on its way into the log.
struct PendingWithdrawal {
    std::string m_operationId; ///< The same wherever it is appended from.
    std::string m_author;
    std::string m_reason;
    std::set<std::string, std::less<>> m_inForceAt; ///< Entries that have it in force, as their beats told.
    bool m_recorded = false;
    Offset m_recordedAt = 0;
    Instant m_appendAt; ///< Next try to record it.
};

} // namespace hemlockvane

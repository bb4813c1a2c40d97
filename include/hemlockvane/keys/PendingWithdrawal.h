#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <set>
#include <string>

namespace hemlockvane {

/// @brief A withdrawal of a key that not every member is known to have folded.
struct PendingWithdrawal {
    std::string m_operationId; ///< The same at every entry that appends it.
    std::string m_author;
    std::string m_reason;
    std::set<std::string, std::less<>> m_inForceAt; ///< Entries at which it is in force, from their heartbeats.
    bool m_recorded = false;
    Offset m_recordedAt = 0; ///< Offset of its record or of a later one, not plus one.
    Instant m_appendAt; ///< Next attempt to append it.
};

} // namespace hemlockvane

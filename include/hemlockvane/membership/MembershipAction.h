#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief Kind of an action on entries and duties.
enum class MembershipStep : std::uint8_t {
    StopSelf, ///< Stop this entry: it was removed or is not on the instance list any more.
    RemoveEntry, ///< Append the removal of the subject, an entry.
    TakeDuty, ///< Append the takeover of the subject, a duty.
    ReleaseDuty, ///< Stop acting as holder of the subject, a duty, then append its release.
    LeaveFleet ///< Append the planned removal of this entry.
};

/// @brief An action with its subject.
struct MembershipAction {
    MembershipStep m_step = MembershipStep::StopSelf;
    std::string m_subject; ///< Instance id or duty name; empty for the entry itself.
    Offset m_epoch = 0; ///< For a duty: the epoch that is replaced or released.
    std::string m_reason; ///< One short sentence for the log line.
};

} // namespace hemlockvane

#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief What an entry is to do about entries and duties.
enum class MembershipStep : std::uint8_t {
    StopSelf, ///< It was removed, or the instance list shows it no more.
    RemoveEntry, ///< Append the removal of the subject.
    TakeDuty, ///< Append the taking of the subject.
    ReleaseDuty, ///< Stop acting under the subject, then append its release.
    LeaveFleet ///< Append the planned removal of this entry.
};

/// @brief One step with what it is about.
struct MembershipAction {
    MembershipStep m_step = MembershipStep::StopSelf;
    std::string m_subject; ///< Instance id or duty name; empty for the entry itself.
    Offset m_epoch = 0; ///< Of a duty: the epoch that is replaced or released.
    std::string m_reason; ///< One short sentence for the log line.
};

} // namespace hemlockvane

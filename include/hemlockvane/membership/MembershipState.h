#pragma once

#include "hemlockvane/membership/DutyRecord.h"
#include "hemlockvane/membership/EntryRecord.h"

#include <map>
#include <string>
#include <string_view>

namespace hemlockvane {

/// @brief Entry instances and duties as folded from the log.
struct MembershipState {
    Offset m_version = 0; ///< Offset of the last accepted change.
    std::map<std::string, EntryRecord, std::less<>> m_entries; ///< Removed ones stay: ids are never used again.
    std::map<std::string, DutyRecord, std::less<>> m_duties;
};

/// @brief True when the instance joined and was not removed.
auto isMember(const MembershipState& state, std::string_view instance) -> bool;

/// @brief True when `epoch` is the duty's current epoch and its holder is a member.
auto fenceHolds(const MembershipState& state, std::string_view duty, Offset epoch) -> bool;

} // namespace hemlockvane

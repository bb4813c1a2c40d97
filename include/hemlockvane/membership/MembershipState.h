#pragma once

#include "hemlockvane/membership/DutyRecord.h"
#include "hemlockvane/membership/EntryRecord.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace hemlockvane {

/// @brief How long a removed entry is remembered. Its id is refused that long; ids are unique by how they are made.
inline constexpr WallMillis removedEntryKeepMs = 24LL * 3600 * 1000;

/// @brief Entry instances and duties as folded from the log.
struct MembershipState {
    Offset m_version = 0; ///< Offset of the last accepted change.
    std::map<std::string, EntryRecord, std::less<>> m_entries; ///< Removed ones stay for a time.
    std::set<std::pair<WallMillis, std::string>> m_removed; ///< Removed entries by time of the removal.
    std::map<std::string, DutyRecord, std::less<>> m_duties;
};

/// @brief True when the instance joined and was not removed.
auto isMember(const MembershipState& state, std::string_view instance) -> bool;

/// @brief Forgets entries removed longer ago than the keep time, so that the state stays bounded.
/// @param clock latest stamp folded
auto forgetRemovedEntries(MembershipState& state, WallMillis clock) -> void;

/// @brief True when `epoch` is the duty's current epoch and its holder is a member.
auto isFenceValid(const MembershipState& state, std::string_view duty, Offset epoch) -> bool;

} // namespace hemlockvane

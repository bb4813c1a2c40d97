#pragma once

#include "hemlockvane/membership/DutyRecord.h"
#include "hemlockvane/membership/EntryRecord.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace hemlockvane {

/// @brief Milliseconds for which a removed entry is kept. Its id is refused for that time; afterwards nothing prevents
/// its reuse, but instance ids are generated to be unique.
inline constexpr WallMillis removedEntryKeepMs = 24LL * 3600 * 1000;

/// @brief Entry instances and duties as folded from the log.
struct MembershipState {
    Offset m_version = 0; ///< Offset plus one of the record of the last accepted change.
    std::map<std::string, EntryRecord, std::less<>> m_entries; ///< Includes entries removed within the keep time.
    std::set<std::pair<WallMillis, std::string>> m_removed; ///< Removed entries by time of removal.
    std::map<std::string, DutyRecord, std::less<>> m_duties;
};

/// @brief True if the instance has joined and was not removed.
auto isMember(const MembershipState& state, std::string_view instance) -> bool;

/// @brief Erases entries that were removed longer ago than the keep time, so that the state stays bounded.
/// @param clock latest folded time stamp
auto forgetRemovedEntries(MembershipState& state, WallMillis clock) -> void;

/// @brief True if `epoch` is the duty's current epoch and its holder is a member.
auto isFenceValid(const MembershipState& state, std::string_view duty, Offset epoch) -> bool;

} // namespace hemlockvane

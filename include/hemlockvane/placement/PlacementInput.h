#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane {

/// @brief What a plan is made from besides the fold and what was learned.
struct PlacementInput {
    Instant m_now {};
    WallMillis m_wallNow = 0;
    bool m_mayPlace = false; ///< The instance is vouched for and the log takes appends.
    std::map<std::string, std::uint32_t, std::less<>> m_permits; ///< By team: free permits in hand for new jobs.
};

} // namespace hemlockvane

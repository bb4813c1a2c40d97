#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane {

/// @brief Input of a placement plan besides the folded state and the placement state.
struct PlacementInput {
    Instant m_now {};
    WallMillis m_wallNow = 0;
    bool m_mayPlace
        = false; ///< True while this instance's membership is confirmed (vouched) and the log accepts appends.
    std::map<std::string, std::uint32_t, std::less<>> m_permits; ///< By team: unused permits for new jobs.
};

} // namespace hemlockvane

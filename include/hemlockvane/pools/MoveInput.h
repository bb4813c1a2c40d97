#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane {

/// @brief What a plan of moves is made from besides the fold.
struct MoveInput {
    WallMillis m_now = 0;
    bool m_mayAct = false; ///< The instance is vouched for and the log takes appends.
    std::map<std::string, std::int64_t, std::less<>> m_demand; ///< By pool: instances that its load needs now; where
                                                               ///< missing, `pool.demand` counts.
};

} // namespace hemlockvane

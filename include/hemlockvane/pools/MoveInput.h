#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace hemlockvane {

/// @brief Input of a plan of moves besides the folded state.
struct MoveInput {
    WallMillis m_now = 0;
    bool m_mayAct = false; ///< True while this instance's membership is confirmed (vouched) and the log accepts
                           ///< appends.
    std::map<std::string, std::int64_t, std::less<>> m_demand; ///< By pool: instances that its current load needs;
                                                               ///< `pool.demand` applies to pools without an entry.
};

} // namespace hemlockvane

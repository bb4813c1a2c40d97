#pragma once

#include "hemlockvane/time/Time.h"

#include <set>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief A maintenance wave: which pools, until when, and how far it got.
struct WaveRecord {
    std::vector<std::string> m_pools; ///< Empty: all.
    WallMillis m_finishBy = 0; ///< 0: no limit.
    bool m_paused = false;
    std::string m_reason; ///< Of the start or of the last pause.
    std::string m_author;
    std::set<std::string, std::less<>> m_done;
    std::set<std::string, std::less<>> m_failed; ///< Did not come back.
};

} // namespace hemlockvane

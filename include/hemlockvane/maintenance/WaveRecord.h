#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief A maintenance wave: which pools, until when, and how far it got.
struct WaveRecord {
    std::vector<std::string> m_pools; ///< Empty: all.
    Offset m_startedAt = 0;
    WallMillis m_finishBy = 0; ///< 0: no limit.
    bool m_paused = false;
    std::string m_reason; ///< Of the start or of the last pause.
    std::string m_author;
    std::uint32_t m_acceptedHarm = 0; ///< Instances lost when an operator last resumed it; they pause it no more.
    std::set<std::string, std::less<>> m_done;
    std::set<std::string, std::less<>> m_failed; ///< Did not come back.
};

/// @brief True when the wave maintains the pool's instances.
auto includesPool(const WaveRecord& wave, std::string_view pool) -> bool;

} // namespace hemlockvane

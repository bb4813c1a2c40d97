#pragma once

#include "hemlockvane/log/FoldContext.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockvane {

/// @brief A maintenance wave: its pools, time limit and progress.
struct WaveRecord {
    std::vector<std::string> m_pools; ///< Empty: all pools.
    Offset m_startedAt = 0;
    WallMillis m_finishBy = 0; ///< 0: no time limit.
    bool m_paused = false;
    std::string m_reason; ///< Reason of the start, or of the last pause or resume.
    std::string m_author;
    std::uint32_t m_acceptedHarm = 0; ///< Instances lost when an operator last resumed the wave; they are not counted
                                      ///< against `wave.harm_limit` again.
    std::set<std::string, std::less<>> m_done; ///< Instances maintained.
    std::set<std::string, std::less<>> m_failed; ///< Instances that did not return from maintenance.
};

/// @brief True when the wave maintains the instances of a pool.
auto includesPool(const WaveRecord& wave, std::string_view pool) -> bool;

} // namespace hemlockvane

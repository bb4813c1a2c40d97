#pragma once

#include <cstdint>

namespace hemlockvane::fleetrun {

/// @brief From one time to another, in ms since the begin of the play.
struct TimeSpan {
    std::int64_t m_from = 0;
    std::int64_t m_to = 0;
};

} // namespace hemlockvane::fleetrun

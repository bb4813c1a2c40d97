#pragma once

#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <string>

namespace hemlockvane::scheduling {

/// @brief How fast the owner's starts are carried out, and how many it may have decided ahead.
struct StartFlow {
    double m_delayMs = 0; ///< Smoothed time from the decision of a start to its confirmation by the executor.
    double m_deviationMs = 0; ///< Smoothed deviation from it.
    std::size_t m_inFlight = 0; ///< Starts that were decided and are neither answered nor given up.
    std::map<std::string, std::size_t, std::less<>> m_inFlightByService;
    std::size_t m_window = std::numeric_limits<std::size_t>::max(); ///< Starts that may be in flight.
    bool m_isLimited = false; ///< The window has held back a start since it last grew.
    Duration m_shortestStoring
        = Duration::max(); ///< Shortest time from a decision until it was stored, in the newest span.
    Duration m_earlierStoring = Duration::max(); ///< The same in the span before.
    Instant m_spanEndsAt;
    Instant m_reducedAt; ///< When the window was last reduced.
};

} // namespace hemlockvane::scheduling

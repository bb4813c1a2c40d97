#pragma once

#include "StartedRun.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockvane::fleetrun {

/// @brief A job as its client sees it; times in ms since the begin of the play.
struct FleetJob {
    std::string m_id;
    std::string m_target; ///< Path of its route and its id.
    std::string m_body;
    std::size_t m_tasks = 0;
    std::int64_t m_sentAt = 0;
    std::int64_t m_acceptedAt = never;
    std::int64_t m_cancelSentAt = never;
    std::string m_state; ///< As last shown.
    std::int64_t m_shownAt = never; ///< When it was shown as ended.
    bool m_isLasting = false;
    bool m_isLong = false; ///< May be at work at the end of the play.
    bool m_isHopeless = false;
    bool m_wasRefusedOnly = true; ///< No attempt was accepted or left without an answer.
};

} // namespace hemlockvane::fleetrun

#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane::fleetrun {

constexpr std::int64_t never = -1;

/// @brief One run of a task as its executor saw it; times in ms since the begin of the play.
struct StartedRun {
    std::string m_task;
    std::int64_t m_run = 0;
    std::string m_executor;
    std::string m_service;
    std::string m_zone;
    std::string m_starter; ///< The instance that sent the start.
    bool m_isStarterInTouch = false; ///< At its start.
    bool m_isLate = false; ///< The start was carried out after its caller had stopped waiting.
    bool m_mayRunTwice = false; ///< The step allows duplicates.
    std::int64_t m_startedAt = 0;
    std::int64_t m_stopAt = never; ///< When its first stop arrived.
    std::int64_t m_endedAt = never;
    std::string m_how; ///< How it ended; "crashed" with its executor.
    std::int64_t m_notedAt = never; ///< When `lastSeen` reached its end.
    bool m_hasLapsed = false; ///< The executor's lease lapsed between its end and that.
};

} // namespace hemlockvane::fleetrun

#pragma once

#include "StartedRun.h"

#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace hemlockvane::fleetrun {

/// @brief What was sent, answered and run in one play. Not thread-safe.
class FleetRecord {
public:
    /// @param path file to which each event is written as a line
    explicit FleetRecord(const std::string& path);
    ~FleetRecord();
    FleetRecord(const FleetRecord&) = delete;
    auto operator=(const FleetRecord&) -> FleetRecord& = delete;

    /// @result ms since the begin of the play
    [[nodiscard]] auto now() const -> std::int64_t;

    auto write(std::string_view who, std::string_view what) -> void;

    std::deque<StartedRun> m_runs; ///< In the order of their starts; references stay valid.
    std::map<std::int64_t, std::string> m_starterByFence;

private:
    std::FILE* m_file = nullptr;
    std::int64_t m_startedAt = 0;
};

} // namespace hemlockvane::fleetrun

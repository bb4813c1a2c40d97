#pragma once

#include "StartedRun.h"

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <limits>
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

    /// @brief Notes a disruption of an instance, or of the store.
    /// @param until its end; `lasting` until it is called again
    auto disturb(std::string_view who, std::int64_t until) -> void;

    /// @result whether neither the instance nor the store has been disrupted for `contactMs`
    [[nodiscard]] auto isInTouch(std::string_view instance) const -> bool;

    static constexpr std::int64_t contactMs = 3000;
    static constexpr std::int64_t lasting = std::numeric_limits<std::int64_t>::max() / 2;
    static constexpr std::string_view store = "store";

    std::deque<StartedRun> m_runs; ///< In the order of their starts; references stay valid.
    std::map<std::int64_t, std::string> m_starterByFence;

private:
    std::map<std::string, std::int64_t, std::less<>> m_disturbedUntil;
    std::FILE* m_file = nullptr;
    std::int64_t m_startedAt = 0;
};

} // namespace hemlockvane::fleetrun

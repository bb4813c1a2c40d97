#pragma once

#include "Evacuation.h"
#include "StartedRun.h"
#include "TimeSpan.h"

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

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

    /// @brief Notes the begin and the end of a disruption of any kind; several may go on at a time.
    auto beginDisruption() -> void;
    auto endDisruption() -> void;

    /// @brief Notes that all disruptions have ended, and that there will be no others.
    auto endDisruptions() -> void;

    /// @result the times of disruptions that have ended, in order and without overlaps
    [[nodiscard]] auto disruptions() const -> const std::vector<TimeSpan>& { return m_disruptions; }

    /// @result whether neither the instance nor the store has been disrupted for `contactMs`
    [[nodiscard]] auto isInTouch(std::string_view instance) const -> bool;

    static constexpr std::int64_t contactMs = 3000;
    static constexpr std::int64_t lasting = std::numeric_limits<std::int64_t>::max() / 2;
    static constexpr std::string_view store = "store";

    std::deque<StartedRun> m_runs; ///< In the order of their starts; references stay valid.
    std::map<std::int64_t, std::string> m_starterByFence;
    std::vector<Evacuation> m_evacuations; ///< In the order of their requests.

private:
    std::map<std::string, std::int64_t, std::less<>> m_disturbedUntil;
    std::vector<TimeSpan> m_disruptions;
    std::size_t m_openDisruptions = 0;
    std::int64_t m_disruptedSince = 0;
    bool m_areDisruptionsOver = false;
    std::FILE* m_file = nullptr;
    std::int64_t m_startedAt = 0;
};

} // namespace hemlockvane::fleetrun

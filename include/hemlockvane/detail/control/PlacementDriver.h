#pragma once

#include "hemlockvane/detail/control/JobPermits.h"
#include "hemlockvane/placement/PlacementState.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Runs the placement slice on the control thread while this instance holds the placement duty.
struct PlacementDriver {
    explicit PlacementDriver(ControlCore& core)
        : m_core(core)
    {
    }

    ControlCore& m_core;
    PlacementState m_state;
    JobPermits m_permits;
    bool m_isActive = false; ///< The duty was held in the last round, so that demand for permits may be reported.
    std::chrono::microseconds m_planDuration { 0 }; ///< Duration of the last plan.
    std::map<std::string, Instant, std::less<>> m_nextReportAt; ///< By worker: when its next report is requested.
    std::set<std::string, std::less<>> m_pendingReports; ///< Workers whose report was requested and has not arrived.
};

/// @brief Requests reports of the workers and plans placements while the duty is held; ends when the process stops.
auto runPlacement(PlacementDriver& driver) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail

#pragma once

#include "hemlockvane/maintenance/WavePlanState.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <set>
#include <string>

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Runs maintenance waves on the control thread while this instance holds the maintenance duty.
struct MaintenanceDriver {
    explicit MaintenanceDriver(ControlCore& core)
        : m_core(core)
    {
    }

    ControlCore& m_core;
    WavePlanState m_state;
    std::map<std::string, std::string, std::less<>> m_initialIncarnations; ///< By draining worker, at first report.
    std::map<std::string, std::string, std::less<>> m_currentIncarnations; ///< By draining worker, at last report.
    std::set<std::string, std::less<>> m_pendingReports; ///< Workers whose report was requested and has not arrived.
};

/// @brief Plans waves while the duty is held; ends when the process stops.
auto runMaintenance(MaintenanceDriver& driver) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail

#pragma once

#include "FleetExecutor.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace hemlockvane::fleetrun {

/// @brief One machine; its executor changes with each move and maintenance.
struct FleetMachine {
    std::string m_id;
    std::string m_pool;
    std::string m_state = "up";
    std::string m_zone;
    std::string m_rack;
    std::string m_address;
    std::shared_ptr<FleetExecutor> m_executor;
    std::int64_t m_highestToken = 0;
    std::set<std::int64_t> m_wavesDone;
};

} // namespace hemlockvane::fleetrun

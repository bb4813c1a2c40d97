#pragma once

#include "hemlockvane/maintenance/WaveRecord.h"

#include <map>
#include <string>

namespace hemlockvane {

/// @brief Number of waves kept. At this number, starting a new wave removes the oldest one that drains no instance.
inline constexpr std::size_t maximumWaves = 16;

/// @brief Maintenance waves by id.
struct MaintenanceState {
    std::map<std::string, WaveRecord, std::less<>> m_waves;
};

} // namespace hemlockvane

#pragma once

#include "hemlockvane/maintenance/WaveRecord.h"

#include <map>
#include <string>

namespace hemlockvane {

/// @brief Waves kept; a new one makes the fold forget the oldest that drains nothing.
inline constexpr std::size_t maximumWaves = 16;

/// @brief Maintenance waves by id.
struct MaintenanceState {
    std::map<std::string, WaveRecord, std::less<>> m_waves;
};

} // namespace hemlockvane

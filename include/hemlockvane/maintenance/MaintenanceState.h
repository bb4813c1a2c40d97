#pragma once

#include "hemlockvane/maintenance/WaveRecord.h"

#include <map>
#include <string>

namespace hemlockvane {

/// @brief Maintenance waves by id.
struct MaintenanceState {
    std::map<std::string, WaveRecord, std::less<>> m_waves;
};

} // namespace hemlockvane

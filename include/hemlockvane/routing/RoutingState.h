#pragma once

#include "hemlockvane/routing/RoutedExecutor.h"
#include "hemlockvane/routing/RoutingLimits.h"

#include <map>
#include <string>

namespace hemlockvane {

/// @brief One entry's routing state of one service.
struct RoutingState {
    RoutingLimits m_limits;
    std::string m_zone; ///< Availability zone of the entry.
    std::map<std::string, RoutedExecutor, std::less<>> m_executors;
    std::map<std::string, double, std::less<>> m_meanRunTime; ///< Mean run time in seconds, by team.
};

} // namespace hemlockvane

#pragma once

#include "hemlockvane/routing/ExecutorHealth.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief One executor of a service as one entry sees it.
struct RoutedExecutor {
    std::string m_zone;
    bool m_leaving = false; ///< It gets nothing new.
    std::uint32_t m_inFlight = 0; ///< This entry's requests there.
    ExecutorHealth m_health;
};

} // namespace hemlockvane

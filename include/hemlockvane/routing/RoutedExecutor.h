#pragma once

#include "hemlockvane/routing/ExecutorHealth.h"

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief One entry's state of an executor of a service.
struct RoutedExecutor {
    std::string m_zone;
    bool m_leaving = false; ///< No new requests are sent to it.
    std::uint32_t m_inFlight = 0; ///< This entry's running requests at the executor.
    ExecutorHealth m_health;
};

} // namespace hemlockvane

#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief A PlaceJob record on its way to the log.
struct PendingPlacement {
    std::string m_worker;
    std::uint32_t m_attempt = 0;
};

} // namespace hemlockvane

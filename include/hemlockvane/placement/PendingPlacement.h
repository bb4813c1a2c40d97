#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief A PlaceJob record that was sent to the log and not yet read back.
struct PendingPlacement {
    std::string m_worker;
    std::uint32_t m_attempt = 0;
};

} // namespace hemlockvane

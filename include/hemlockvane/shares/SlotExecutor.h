#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief An executor whose slots are planned.
struct SlotExecutor {
    std::string m_executor;
    std::string m_zone;
    std::uint32_t m_slots = 0; ///< 0: no new requests are sent to it.
};

} // namespace hemlockvane

#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane {

/// @brief One executor whose slots are planned.
struct SlotExecutor {
    std::string m_executor;
    std::string m_zone;
    std::uint32_t m_slots = 0; ///< 0: it gets nothing new.
};

} // namespace hemlockvane

#pragma once

#include <string>

namespace hemlockvane {

/// @brief A MoveInstance record to append to the log.
struct MoveAction {
    std::string m_instance;
    std::string m_from;
    std::string m_to;
    std::string m_reason;
};

} // namespace hemlockvane

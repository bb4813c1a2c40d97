#pragma once

#include "hemlockvane/time/Time.h"

#include <map>
#include <string>

namespace hemlockvane::detail {

/// @brief The executors that may run a step.
struct AdviceAnswer {
    std::map<std::string, std::string> m_tickets; ///< Tickets, by executor id.
    Duration m_validFor { 0 };
};

} // namespace hemlockvane::detail

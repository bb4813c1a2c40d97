#pragma once

#include "hemlockvane/time/Time.h"

#include <map>
#include <string>

namespace hemlockvane::detail {

/// @brief Which executors may run a step.
struct AdviceAnswer {
    std::map<std::string, std::string> m_tickets; ///< Executor id to ticket.
    Duration m_validFor { 0 };
};

} // namespace hemlockvane::detail

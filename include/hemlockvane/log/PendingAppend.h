#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief One append: a record for the log service and what it carries.
struct PendingAppend {
    std::uint64_t m_number = 0; ///< Names the append in its answer.
    std::string m_record; ///< A serialised wire::Group.
    std::vector<std::string> m_ids;
    Instant m_updatedAt; ///< When it was sent; once answered or lost, when that was known.
};

} // namespace hemlockvane

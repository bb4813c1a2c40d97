#pragma once

#include "hemlockvane/time/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief One append to the log service: the record and the ids of the operations in it.
struct PendingAppend {
    std::uint64_t m_number = 0; ///< Identifies the append when its outcome is reported.
    std::string m_record; ///< A serialised wire::Group.
    std::vector<std::string> m_ids; ///< Of the operations in the record.
    Instant m_updatedAt; ///< When it was sent or, once it was answered or has timed out, when that happened.
};

} // namespace hemlockvane

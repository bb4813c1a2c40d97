#pragma once

#include "hemlockvane/scheduling/EndKind.h"
#include "hemlockvane/scheduling/TaskKey.h"

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

/// @brief A run that an executor reports as ended.
struct ReportedEnd {
    std::uint64_t m_number = 0; ///< Rises by one with each end of the incarnation.
    TaskKey m_task;
    std::uint32_t m_run = 0;
    EndKind m_kind = EndKind::Stopped;
    std::string m_checkpoint;
};

} // namespace hemlockvane::scheduling

#pragma once

#include "hemlockvane/scheduling/RunOutcome.h"
#include "hemlockvane/scheduling/TaskKey.h"

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

/// @brief A run that an executor reports as ended, with its outcome.
struct EndedRun {
    std::uint64_t m_number = 0; ///< Rises by one with each ended run of the executor's incarnation.
    TaskKey m_task;
    std::uint32_t m_run = 0;
    RunOutcome m_kind = RunOutcome::Stopped;
    std::string m_checkpoint;
};

} // namespace hemlockvane::scheduling

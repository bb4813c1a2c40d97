#pragma once

#include "hemlockvane/scheduling/TaskRun.h"

#include <cstddef>
#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief A new life of an executor under its id, at the time when the scheduler learnt of it.
struct NoticedLife {
    ExecutorIndex m_executor = 0;
    std::int64_t m_startedAtMs = 0;
    std::int64_t m_earlierStartedAtMs = 0; ///< Start of the life that was known before.
    std::int64_t m_earlierLeaseUntilMs = 0; ///< Latest lease deadline sent to that life, on its clock.
    std::size_t m_lostRuns = 0; ///< Runs that certainly ended with that life.
    std::size_t m_keptRuns = 0; ///< Runs that may be on either life.
};

} // namespace hemlockvane::scheduling

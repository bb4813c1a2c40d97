#pragma once

#include "hemlockvane/jobs/JobStatus.h"
#include "hemlockvane/log/FoldContext.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief A submitted job as folded from the log.
struct JobRecord {
    std::string m_team;
    std::string m_queue;
    std::string m_command;
    std::uint32_t m_cores = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_accelerators = 0;
    std::uint32_t m_runSeconds = 0; ///< Declared run time.
    bool m_urgent = false;
    bool m_repeatable = false;
    std::uint32_t m_maximumAttempts = 1;
    WallMillis m_deadlineAt = 0; ///< 0: none.
    Offset m_submittedAt = 0;
    WallMillis m_submittedAtMs = 0;

    JobStatus m_status = JobStatus::Queued;
    bool m_cancelRequested = false; ///< While running: the worker is to stop it.
    std::uint32_t m_attempt = 0; ///< Attempts begun.
    std::string m_worker; ///< While running.
    Offset m_leaseEpoch = 0; ///< Offset of the current attempt's placement.
    std::string m_reason; ///< Of the last attempt's end.
    WallMillis m_changedAt = 0;
    std::vector<std::string> m_failedOn; ///< Workers of failed attempts.
};

} // namespace hemlockvane

#pragma once

#include "hemlockvane/jobs/JobStatus.h"
#include "hemlockvane/log/FoldContext.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief A submitted job in the folded state.
struct JobRecord {
    std::string m_team;
    std::string m_queue;
    std::string m_command;
    std::uint32_t m_cores = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_accelerators = 0;
    std::uint32_t m_runSeconds = 0; ///< Declared run time, in seconds.
    bool m_urgent = false;
    bool m_repeatable = false;
    std::uint32_t m_maximumAttempts = 1;
    WallMillis m_deadlineAt = 0; ///< 0: none.
    Offset m_submittedAt = 0;
    WallMillis m_submittedAtMs = 0;

    JobStatus m_status = JobStatus::Queued;
    bool m_cancelRequested = false; ///< Set while the job runs: its worker must stop it.
    std::uint32_t m_attempt = 0; ///< Number of attempts begun.
    std::string m_worker; ///< Set while the job runs.
    Offset m_leaseEpoch = 0; ///< Offset of the record that placed the current attempt.
    std::string m_reason; ///< Why the last attempt ended.
    WallMillis m_changedAt = 0;
    std::vector<std::string> m_failedOn; ///< Workers of failed or lost attempts, oldest first.
};

} // namespace hemlockvane

#pragma once

#include <cstdint>
#include <string>

namespace hemlockvane::scheduling {

/// @brief Stored progress of one task of a job.
struct TaskProgress {
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;
    bool m_isDone = false;
    std::uint32_t m_failures = 0;
    std::uint32_t m_gangFailures = 0;
    std::uint32_t m_crashes = 0;
    std::uint32_t m_possibleCrashes = 0;
    std::uint32_t m_highestRun = 0;
    std::uint64_t m_countedRunBits = 0;
    std::string m_checkpoint;
};

} // namespace hemlockvane::scheduling

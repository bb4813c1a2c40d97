#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Lifecycle state of a job.
enum class JobStatus : std::uint8_t {
    Queued,
    Running,
    Finished,
    Parked, ///< Failed permanently; JobRecord::m_reason says why.
    Cancelled
};

} // namespace hemlockvane

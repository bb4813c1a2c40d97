#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Where a job stands.
enum class JobStatus : std::uint8_t {
    Queued,
    Running,
    Finished,
    Parked, ///< Failed for good; the reason says why.
    Cancelled
};

} // namespace hemlockvane

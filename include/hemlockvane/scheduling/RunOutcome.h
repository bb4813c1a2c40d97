#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief How a run ended.
enum class RunOutcome : std::uint8_t {
    Done,
    Failed,
    Stopped, ///< Stopped on request.
    LeaseExpired, ///< The lease of its executor expired.
    GangBroken, ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not start in time.
};

} // namespace hemlockvane::scheduling

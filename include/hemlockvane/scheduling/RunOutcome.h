#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief How a run ended.
enum class RunOutcome : std::uint8_t {
    Done,
    Failed,
    Stopped, ///< By an order.
    LeaseExpired, ///< Its lease ran out.
    GangBroken, ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not come in time.
};

} // namespace hemlockvane::scheduling

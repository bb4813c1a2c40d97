#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief How a run ended.
enum class EndKind : std::uint8_t {
    Done,
    Failed,
    Stopped, ///< By an order.
    Lapsed, ///< Its lease ran out.
    Broken, ///< Another member of its gang ended.
    Alone, ///< The other members of its gang did not come in time.
};

} // namespace hemlockvane::scheduling

#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Status of a granted key. The status of one grant only moves forward in this order.
enum class ClaimStatus : std::uint8_t {
    Granting, ///< Being mirrored to another zone; the grant has not been sent to the dispatcher.
    InFlight, ///< The dispatcher may have sent the request.
    Unknown, ///< The request may have run, and its outcome cannot be determined any more.
    Done, ///< The request ran; its answer is stored unless it was too large or was evicted.
};

} // namespace hemlockvane

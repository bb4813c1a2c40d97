#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief What is known of a granted key. For one grant the status only grows.
enum class ClaimStatus : std::uint8_t {
    Granting, ///< Being copied to another zone; the dispatcher was not told yet.
    InFlight, ///< The dispatcher may have sent it.
    Unknown, ///< It may have run; nobody can tell any more.
    Done, ///< It ran; the answer is kept unless it was too large.
};

} // namespace hemlockvane

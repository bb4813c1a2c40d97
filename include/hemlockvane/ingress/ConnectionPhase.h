#pragma once

#include <cstdint>

namespace hemlockvane::ingress {

/// @brief What a caller's connection is being used for.
enum class ConnectionPhase : std::uint8_t {
    Idle, ///< Between two requests.
    Receiving, ///< A request has begun to arrive and is not complete.
    Answering, ///< A complete request is being handled or answered.
};

} // namespace hemlockvane::ingress

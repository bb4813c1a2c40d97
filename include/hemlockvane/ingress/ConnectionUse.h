#pragma once

#include "hemlockvane/ingress/ConnectionPhase.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>

namespace hemlockvane::ingress {

/// @brief Use of one connection and of the memory for it.
struct ConnectionUse {
    ConnectionPhase m_phase = ConnectionPhase::Idle;
    Instant m_since; ///< Begin of the phase.
    std::size_t m_bytes = 0; ///< Held for its request or answer.
};

} // namespace hemlockvane::ingress

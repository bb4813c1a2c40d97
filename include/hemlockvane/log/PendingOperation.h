#pragma once

#include "hemlockvane/log/AppendOptions.h"

#include <cstddef>
#include <memory>

namespace hemlockvane::wire {
class Operation;
} // namespace hemlockvane::wire

namespace hemlockvane {

/// @brief An operation whose outcome is not known yet.
struct PendingOperation {
    std::shared_ptr<const wire::Operation> m_operation;
    std::size_t m_bytes = 0;
    AppendOptions m_options;
    bool m_inFlight = false; ///< Part of the append that is in flight.
    bool m_sent = false; ///< It was part of an append that succeeded or has an unknown outcome: it may be in the log.
};

} // namespace hemlockvane

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
    bool m_inFlight = false; ///< Carried by the append that has no answer yet.
    bool m_sent = false; ///< An append that carried it was taken or lost: it may be in the log.
};

} // namespace hemlockvane

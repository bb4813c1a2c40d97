#pragma once

#include "hemlockvane/time/Time.h"

#include <string>

namespace hemlockvane::detail {

/// @brief An order for a machine whose effect the list of machines may not show yet.
struct MachineOrder {
    Instant m_at; ///< When it was decided or restored from the store, then when it was answered.
    std::string m_pool; ///< Pool of the machine once the order is carried out.
    bool m_isMove = false; ///< Otherwise maintenance.
    Instant m_sendBy; ///< A later owner takes it that the order was sent by then.
    bool m_isInFlight = false; ///< Not answered yet: waiting for the journal, or sent.
};

} // namespace hemlockvane::detail

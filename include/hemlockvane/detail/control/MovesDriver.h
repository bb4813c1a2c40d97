#pragma once

#include "hemlockvane/log/FoldContext.h"
#include "hemlockvane/pools/MovePlanState.h"

#include <boost/asio/awaitable.hpp>

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Plans moves of instances between pools on the control thread while this instance holds the placement duty.
struct MovesDriver {
    explicit MovesDriver(ControlCore& core)
        : m_core(core)
    {
    }

    ControlCore& m_core;
    MovePlanState m_state;
    Offset m_epoch = 0; ///< Epoch of the duty under which `m_state` was built.
};

/// @brief Plans moves while the duty is held; ends when the process stops.
auto runMoves(MovesDriver& driver) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail

#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief How an executor answered an order to start.
enum class StartAnswer : std::uint8_t {
    Started, ///< It runs there, now or already.
    NoCapacity,
    BadTicket,
    TooLate, ///< The order's deadline had passed.
    AlreadyEnded, ///< That run or a later one was stopped or ended there.
    StaleFence, ///< A newer owner has given orders there.
    Refused, ///< Nothing was done: unhealthy executor or bad order.
    OtherIncarnation, ///< Another executor has the address.
    Unknown, ///< No answer: it may still be carried out.
};

} // namespace hemlockvane::scheduling

#pragma once

#include <cstdint>

namespace hemlockvane::scheduling {

/// @brief An executor's answer to a request to start a run.
enum class StartAnswer : std::uint8_t {
    Started, ///< The run has started, now or by an earlier request.
    NoCapacity,
    BadTicket,
    TooLate, ///< The deadline of the request had passed.
    AlreadyEnded, ///< That run or a later one of the task has already been stopped or has ended there.
    StaleFence, ///< The executor has accepted requests of a newer owner.
    Refused, ///< Nothing was done: unhealthy executor or invalid request.
    OtherIncarnation, ///< Another executor uses the address.
    NotSent, ///< The request was dropped before it was sent, since it was not wanted any more.
    Unknown, ///< No answer: the request may still be carried out.
};

} // namespace hemlockvane::scheduling

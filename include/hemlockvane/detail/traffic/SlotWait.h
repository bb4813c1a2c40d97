#pragma once

#include "hemlockvane/errors/ErrorKind.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief The wait of a request in a service's queue, and its result.
struct SlotWait {
    explicit SlotWait(const boost::asio::any_io_executor& executor)
        : m_signal(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    boost::asio::steady_timer m_signal; ///< Cancelled when the wait is over.
    bool m_isRepeatable = false;
    std::vector<std::string> m_tried; ///< Executors that the request was sent to before.
    std::optional<std::string> m_executor; ///< Executor at which it has a slot.
    ErrorKind m_shedKind = ErrorKind::None; ///< Reason for leaving the queue without a slot; None: not shed.
    Duration m_retryAfter { 0 }; ///< Time after which the caller of a shed request may retry; 0: not specified.
};

} // namespace hemlockvane::detail

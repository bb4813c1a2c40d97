#pragma once

#include "hemlockvane/log/OperationResult.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace hemlockvane::detail {

/// @brief A coroutine that waits for the outcome of an operation.
struct CommitWaiter {
    explicit CommitWaiter(const boost::asio::any_io_executor& executor)
        : m_signal(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    boost::asio::steady_timer m_signal; ///< Cancelled when the result arrives.
    std::optional<OperationResult> m_result;
};

} // namespace hemlockvane::detail

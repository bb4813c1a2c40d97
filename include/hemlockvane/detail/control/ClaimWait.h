#pragma once

#include "hemlockvane/claims/ClaimReply.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace hemlockvane::detail {

/// @brief A request that waits for its claim, and the outcome of the wait.
struct ClaimWait {
    std::uint64_t m_ticket = 0;
    std::shared_ptr<boost::asio::steady_timer> m_signal; ///< Cancelled when the wait is over.
    bool m_mayDispatch = false; ///< The claim was granted.
    std::optional<ClaimReply> m_reply; ///< Answer to the caller, when the request must not be dispatched.
};

} // namespace hemlockvane::detail

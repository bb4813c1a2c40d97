#pragma once

#include "hemlockvane/claims/ClaimReply.h"
#include "hemlockvane/claims/ClaimResult.h"
#include "hemlockvane/claims/ClaimState.h"
#include "hemlockvane/detail/control/ClaimWait.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hemlockvane::detail {

struct ControlCore;

/// @brief Runs the claims slice on the control thread.
struct ClaimsDriver {
    explicit ClaimsDriver(ControlCore& core);

    ControlCore& m_core;
    ClaimState m_state;
    std::uint64_t m_lastTicket = 0;
    Offset m_lastMembershipVersion = 0; ///< Version of the membership last given to the slice.
    std::map<std::uint64_t, std::shared_ptr<ClaimWait>> m_waits; ///< By ticket.
};

/// @brief Asks for the claim of a request and waits until it may be sent or has its final answer.
/// @param key Idempotency-Key as the caller gave it
/// @result a ticket to dispatch under, or a reply
auto awaitClaim(ClaimsDriver& driver, std::string team, std::string key, std::uint64_t bodyHash, Instant deadline)
    -> boost::asio::awaitable<ClaimWait>;

/// @brief Tells what became of a request that was dispatched under a ticket.
auto endClaim(ClaimsDriver& driver, std::uint64_t ticket, ClaimResult result, std::string_view answer) -> void;

/// @brief Connects the slice to folds and messages and runs its clock; ends when the process stops.
auto runClaims(ClaimsDriver& driver) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail

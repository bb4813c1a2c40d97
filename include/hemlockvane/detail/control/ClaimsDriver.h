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
    Offset m_lastMembershipVersion = 0; ///< Version of the membership that the slice was last updated to.
    std::map<std::uint64_t, std::shared_ptr<ClaimWait>> m_waits; ///< By ticket.
};

/// @brief Requests the claim for a request with an idempotency key, and waits until it may be dispatched or is
/// answered.
/// @param key Idempotency-Key header as sent by the caller
/// @param bodyHash hash of the request's body; a repeated key must come with the same body
/// @result a ticket under which to dispatch the request, or the reply to the caller
auto awaitClaim(ClaimsDriver& driver, std::string team, std::string key, std::uint64_t bodyHash, Instant deadline)
    -> boost::asio::awaitable<ClaimWait>;

/// @brief Reports the outcome of a request that was dispatched under a ticket.
auto endClaim(ClaimsDriver& driver, std::uint64_t ticket, ClaimResult result, std::string_view answer) -> void;

/// @brief Registers the slice for folds and peers' messages and runs its periodic steps; ends when the process stops.
auto runClaims(ClaimsDriver& driver) -> boost::asio::awaitable<void>;

} // namespace hemlockvane::detail

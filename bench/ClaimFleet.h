#pragma once

#include "hemlockvane/claims.h"
#include "hemlockvane/membership.h"

#include <deque>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief Entries that share one folded membership and exchange claims messages in the order sent, without delay.
struct ClaimFleet {
    std::vector<ClaimState> m_entries;
    std::vector<bool> m_alive;
    MembershipState m_membership;
    Offset m_foldedEnd = 0;
    ClaimTime m_time;
    std::deque<SendToPeer> m_messages;
    /// Requests dispatched without an outcome so far: entry and ticket.
    std::vector<std::pair<std::size_t, std::uint64_t>> m_dispatched;
    std::vector<ClaimReply> m_replies;
    std::uint64_t m_nextTicket = 1;
    std::size_t m_messagesSent = 0;
    std::size_t m_bytesSent = 0;
};

/// @brief Makes a fleet; slots are assigned to entries, and entries to zones, round-robin.
auto makeClaimFleet(std::size_t entries, std::size_t zones, const ClaimSettings& settings) -> ClaimFleet;

/// @brief Submits a request with a key at an entry.
/// @result the request's ticket
auto requestClaim(ClaimFleet& fleet, std::size_t entry, const std::string& key) -> std::uint64_t;

/// @brief Completes a dispatched request with an answer.
auto completeRequest(ClaimFleet& fleet, std::size_t entry, std::uint64_t ticket, std::string_view answer) -> void;

/// @brief Delivers all messages, including those sent in reply, until none is left.
auto deliverMessages(ClaimFleet& fleet) -> void;

/// @brief Advances the clock, then ticks every live entry and delivers the messages.
auto advanceFleetTime(ClaimFleet& fleet, Duration time) -> void;

/// @brief Crashes entries, removes them from the membership and assigns their duties to the live entries round-robin.
///
/// Then lets the removal grace and one announce interval pass.
auto crashEntries(ClaimFleet& fleet, const std::vector<std::size_t>& crashed) -> void;

/// @brief Formats a UUIDv7 from its creation time and a serial number.
auto makeKeyText(WallMillis createdAt, std::uint32_t serial) -> std::string;

} // namespace hemlockvane

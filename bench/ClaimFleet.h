#pragma once

#include "hemlockvane/claims.h"
#include "hemlockvane/membership.h"

#include <deque>
#include <string>
#include <vector>

namespace hemlockvane {

/// @brief Entries that exchange claims messages in the order sent, without delay, over one folded membership.
struct ClaimFleet {
    std::vector<ClaimState> m_entries;
    std::vector<bool> m_alive;
    MembershipState m_membership;
    Offset m_foldedEnd = 0;
    ClaimTime m_time;
    std::deque<SendToPeer> m_messages;
    std::vector<std::pair<std::size_t, std::uint64_t>> m_dispatched; ///< Entry and ticket to dispatch.
    std::vector<ClaimReply> m_replies;
    std::uint64_t m_nextTicket = 1;
    std::size_t m_messagesSent = 0;
    std::size_t m_bytesSent = 0;
};

/// @brief A fleet whose slots are spread over its entries and whose entries stand in turn in each zone.
auto makeClaimFleet(std::size_t entries, std::size_t zones, const ClaimSettings& settings) -> ClaimFleet;

/// @brief A key's request comes in at an entry.
auto requestClaim(ClaimFleet& fleet, std::size_t entry, const std::string& key) -> std::uint64_t;

/// @brief Ends a dispatched request.
auto completeRequest(ClaimFleet& fleet, std::size_t entry, std::uint64_t ticket, std::string_view answer) -> void;

/// @brief Delivers everything that is under way.
auto deliverMessages(ClaimFleet& fleet) -> void;

/// @brief Lets time pass at every entry that is alive.
auto advanceFleetTime(ClaimFleet& fleet, Duration time) -> void;

/// @brief Entries crash, are removed, and their duties go to the others in turn.
auto crashEntries(ClaimFleet& fleet, const std::vector<std::size_t>& crashed) -> void;

/// @brief Text of a UUIDv7.
auto makeKeyText(WallMillis createdAt, std::uint32_t serial) -> std::string;

} // namespace hemlockvane

#pragma once

#include <cstddef>
#include <string_view>

namespace hemlockvane::wire {
class ClaimMirror;
class ClaimOutcome;
class ClaimRequest;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct ClaimContext;
struct ClaimKey;
struct ClaimRecord;

/// @brief Handles a dispatcher's request for the grant of a key.
auto handleClaimRequest(ClaimContext& context, std::string_view sender, const wire::ClaimRequest& request) -> void;

/// @brief Handles a dispatcher's report of the outcome of its request.
auto handleClaimOutcome(ClaimContext& context, std::string_view sender, const wire::ClaimOutcome& outcome) -> void;

/// @brief Handles a holder's request to store a mirror copy of a record.
auto handleMirrorRequest(ClaimContext& context, std::string_view sender, const wire::ClaimMirror& mirror) -> void;

/// @brief Handles an entry's answer to a request to store a mirror copy.
auto handleMirrorConfirmation(ClaimContext& context, std::string_view sender, const wire::ClaimMirror& mirror) -> void;

/// @brief Asks the next suitable member to store a mirror copy of a record.
auto requestMirror(ClaimContext& context, std::size_t slot, const ClaimKey& key, ClaimRecord& record) -> void;

/// @brief True when enough members have a record: members of two zones, or two members while there is only one zone.
/// Also true when no other member could store a copy.
auto isReplicated(const ClaimContext& context, const ClaimRecord& record) -> bool;

/// @brief Resolves a record whose dispatcher was removed: a key that was in flight becomes unknown, and its waiters are
/// answered; a grant that was not issued yet is erased.
auto resolveLostDispatcher(ClaimContext& context, std::size_t slot, const ClaimKey& key, ClaimRecord& record) -> void;

/// @brief Resolves overdue keys and waiters, and resends unconfirmed mirror requests.
auto tickHolder(ClaimContext& context, std::size_t slot) -> void;

} // namespace hemlockvane

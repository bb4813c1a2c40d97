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

/// @brief A dispatcher asks whether it may send a request.
auto handleClaimRequest(ClaimContext& context, std::string_view sender, const wire::ClaimRequest& request) -> void;

/// @brief A dispatcher tells what became of its request.
auto handleClaimOutcome(ClaimContext& context, std::string_view sender, const wire::ClaimOutcome& outcome) -> void;

/// @brief A holder asks this entry to keep a copy.
auto handleMirrorRequest(ClaimContext& context, std::string_view sender, const wire::ClaimMirror& mirror) -> void;

/// @brief An entry answered a request to keep a copy.
auto handleMirrorConfirmation(ClaimContext& context, std::string_view sender, const wire::ClaimMirror& mirror) -> void;

/// @brief Asks the next suitable member to keep a copy of a record.
auto requestMirror(ClaimContext& context, std::size_t slot, const ClaimKey& key, ClaimRecord& record) -> void;

/// @brief True when enough members know a record: two zones, or two members while there is one zone only.
auto isReplicated(const ClaimContext& context, const ClaimRecord& record) -> bool;

/// @brief Marks what a removed dispatcher left behind as unknown and answers who waits for it.
auto resolveLostDispatcher(ClaimContext& context, std::size_t slot, const ClaimKey& key, ClaimRecord& record) -> void;

/// @brief Ends what is overdue and repeats copies that were not confirmed.
auto tickHolder(ClaimContext& context, std::size_t slot) -> void;

} // namespace hemlockvane

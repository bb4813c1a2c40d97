#pragma once

#include "hemlockvane/claims/ClaimKey.h"

#include <cstddef>
#include <string_view>

namespace hemlockvane::wire {
class ClaimEntry;
} // namespace hemlockvane::wire

namespace hemlockvane {

struct ClaimRecord;
struct ClaimSlot;
struct ClaimState;

/// @brief Record of a key, null when there is none.
auto findClaim(ClaimSlot& slot, const ClaimKey& key) -> ClaimRecord*;

/// @brief Stores or replaces a record.
/// @result the stored record, null when the entry has no room for another
/// @complexity constant on average
auto storeClaim(ClaimState& state, ClaimSlot& slot, const ClaimKey& key, ClaimRecord record) -> ClaimRecord*;

/// @brief Forgets a record, if there is one.
auto eraseClaim(ClaimState& state, ClaimSlot& slot, const ClaimKey& key) -> void;

/// @brief Marks a record as done, with its answer if that may be kept; the oldest answers make room for it.
/// @complexity constant, but linear in the records when room is made, which frees a quarter of the answers
auto storeAnswer(ClaimState& state, ClaimRecord& record, std::string_view answer, bool lost) -> void;

/// @brief Forgets the records of a slot whose keys no entry accepts any more.
/// @complexity linear in the slot's records
auto forgetExpired(ClaimState& state, ClaimSlot& slot) -> void;

/// @brief A record as it is told to other entries.
auto toClaimEntry(const ClaimKey& key, const ClaimRecord& record) -> wire::ClaimEntry;

/// @brief A record as another entry told it; its stamp is read from the key.
auto fromClaimEntry(const wire::ClaimEntry& entry) -> ClaimRecord;

} // namespace hemlockvane

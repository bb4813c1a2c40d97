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

/// @brief Finds the record of a key.
/// @result null if there is none
auto findClaim(ClaimSlot& slot, const ClaimKey& key) -> ClaimRecord*;

/// @brief Stores or replaces a record.
/// @result the stored record, null if the entry's maximum number of records is reached
/// @complexity constant on average
auto storeClaim(ClaimState& state, ClaimSlot& slot, const ClaimKey& key, ClaimRecord record) -> ClaimRecord*;

/// @brief Erases the record of a key, if there is one.
auto eraseClaim(ClaimState& state, ClaimSlot& slot, const ClaimKey& key) -> void;

/// @brief Marks a record as done and stores its answer within the size limits, evicting the oldest answers if needed.
/// @complexity constant; linear in the records when answers are evicted, a quarter of them at a time
auto storeAnswer(ClaimState& state, ClaimRecord& record, std::string_view answer, bool lost) -> void;

/// @brief Erases the records of a slot whose keys are too old to be accepted by any entry.
/// @complexity linear in the slot's records
auto forgetExpired(ClaimState& state, ClaimSlot& slot) -> void;

/// @brief Converts a record to the form that is sent to other entries.
auto toClaimEntry(const ClaimKey& key, const ClaimRecord& record) -> wire::ClaimEntry;

/// @brief Converts a received record. The stamp is not sent; storeClaim reads it from the key.
auto fromClaimEntry(const wire::ClaimEntry& entry) -> ClaimRecord;

} // namespace hemlockvane

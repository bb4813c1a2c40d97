#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/time/Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane {

struct ClaimKey;

/// @brief An Idempotency-Key in its canonical form with the time that is encoded in it.
struct RequestKey {
    std::string m_text;
    WallMillis m_stampedAt = 0;
};

/// @brief Reads an Idempotency-Key: a UUID of version 7 in its 36 character form.
/// @param reason receives BadRequest
/// @complexity constant
auto parseRequestKey(std::string_view text, FailureReason& reason) -> std::optional<RequestKey>;

/// @brief Slot of a key, the same on every entry.
auto claimSlot(const ClaimKey& key, std::size_t slots) -> std::size_t;

/// @brief Name of a slot's duty, "claims/<slot>".
auto claimDuty(std::size_t slot) -> std::string;

} // namespace hemlockvane

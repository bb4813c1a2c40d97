#pragma once

#include "hemlockvane/time/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace hemlockvane::detail {

/// @brief Random part of a UUID.
using UuidRandom = std::array<std::uint8_t, 10>;

/// @brief A UUID of version 7 (RFC 9562) in its usual text form.
/// @param now stamped into the UUID
auto formatUuidV7(WallMillis now, const UuidRandom& random) -> std::string;

/// @brief A new UUID of version 7 from the system's clock and random source.
auto makeUuidV7() -> std::string;

} // namespace hemlockvane::detail

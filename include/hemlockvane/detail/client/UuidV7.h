#pragma once

#include "hemlockvane/time/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace hemlockvane::detail {

/// @brief Random bytes of a UUID; six of the bits are overwritten by the version and the variant.
using UuidRandom = std::array<std::uint8_t, 10>;

/// @brief Formats a UUID of version 7 (RFC 9562) as text with hyphens.
/// @param now timestamp of the UUID
auto formatUuidV7(WallMillis now, const UuidRandom& random) -> std::string;

/// @brief Makes a UUID of version 7 from the system clock and the system's random source.
auto makeUuidV7() -> std::string;

} // namespace hemlockvane::detail

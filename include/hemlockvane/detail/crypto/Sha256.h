#pragma once

#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief SHA-256 hash of some bytes.
/// @result 32 bytes
auto sha256(std::string_view bytes) -> std::string;

/// @brief Converts bytes to lower-case hexadecimal text.
auto toHex(std::string_view bytes) -> std::string;

/// @brief Makes a secret of 32 random bytes, as hexadecimal text.
auto makeSecret() -> std::string;

} // namespace hemlockvane::detail

#pragma once

#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief SHA-256 of some bytes, 32 bytes.
auto sha256(std::string_view bytes) -> std::string;

/// @brief Bytes as lower-case hexadecimal text.
auto toHex(std::string_view bytes) -> std::string;

/// @brief A new secret of 32 random bytes in hexadecimal text.
auto makeSecret() -> std::string;

} // namespace hemlockvane::detail

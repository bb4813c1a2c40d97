#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief How the platform's instance list shows an instance.
enum class ListedStatus : std::uint8_t { Live, Leaving, Failed };

} // namespace hemlockvane

#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Status of an instance on the platform's instance list.
enum class ListedStatus : std::uint8_t { Live, Leaving, Failed };

} // namespace hemlockvane

#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Failure that a pool's drains leave room for.
enum class FailureDomainLevel : std::uint8_t { None, Rack, Zone };

} // namespace hemlockvane

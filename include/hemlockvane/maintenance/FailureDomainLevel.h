#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Failure domain whose loss must stay within a pool's budget in addition to the drains; see `wave.cover`.
enum class FailureDomainLevel : std::uint8_t { None, Rack, Zone };

} // namespace hemlockvane

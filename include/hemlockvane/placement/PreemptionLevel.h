#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief How far a task was pressed to give up its worker's resources.
enum class PreemptionLevel : std::uint8_t { None, Throttled, Checkpointing, Stopping };

} // namespace hemlockvane

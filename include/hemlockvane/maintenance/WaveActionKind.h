#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief Kind of a maintenance action. Every kind except Reboot appends a record to the log.
enum class WaveActionKind : std::uint8_t { BeginDrain, EndDrain, PauseWave, MarkInstance, Reboot };

} // namespace hemlockvane

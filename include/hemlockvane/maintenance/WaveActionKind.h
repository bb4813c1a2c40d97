#pragma once

#include <cstdint>

namespace hemlockvane {

/// @brief What the shell is to do. All but Reboot are records to append.
enum class WaveActionKind : std::uint8_t { BeginDrain, EndDrain, PauseWave, MarkInstance, Reboot };

} // namespace hemlockvane
